import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, numbers, booleans and null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		Json json = new Json(text);
		Object value = json.value();
		json.space();
		if (json.at != text.length()) {
			throw new IllegalArgumentException("text after the JSON value at " + json.at);
		}
		return value;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> map(Object value) {
		return (Map<String, Object>) value;
	}

	static Map<String, Object> object(Object... pairs) {
		Map<String, Object> map = new LinkedHashMap<>();
		for (int i = 0; i < pairs.length; i += 2) {
			map.put((String) pairs[i], pairs[i + 1]);
		}
		return map;
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		if (value instanceof Map<?, ?> map) {
			out.append('{');
			String comma = "";
			for (Map.Entry<?, ?> e : map.entrySet()) {
				out.append(comma);
				write(e.getKey(), out);
				out.append(':');
				write(e.getValue(), out);
				comma = ",";
			}
			out.append('}');
		}
		else if (value instanceof List<?> list) {
			out.append('[');
			String comma = "";
			for (Object item : list) {
				out.append(comma);
				write(item, out);
				comma = ",";
			}
			out.append(']');
		}
		else if (value instanceof String string) {
			out.append('"');
			for (char c : string.toCharArray()) {
				if ((c == '"') || (c == '\\')) {
					out.append('\\').append(c);
				}
				else if (c < ' ') {
					out.append(String.format("\\u%04x", (int) c));
				}
				else {
					out.append(c);
				}
			}
			out.append('"');
		}
		else {
			out.append(value);
		}
	}

	private void space() {
		while ((this.at < this.text.length()) && (this.text.charAt(this.at) <= ' ')) {
			this.at++;
		}
	}

	private Object value() {
		space();
		char c = this.text.charAt(this.at);
		if (c == '{') {
			Map<String, Object> map = new LinkedHashMap<>();
			this.at++;
			space();
			while (this.text.charAt(this.at) != '}') {
				space();
				String key = string();
				space();
				expect(':');
				map.put(key, value());
				space();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
				}
			}
			this.at++;
			return map;
		}
		if (c == '[') {
			List<Object> list = new ArrayList<>();
			this.at++;
			space();
			while (this.text.charAt(this.at) != ']') {
				list.add(value());
				space();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
				}
			}
			this.at++;
			return list;
		}
		if (c == '"') {
			return string();
		}
		int from = this.at;
		while ((this.at < this.text.length()) && (",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0)) {
			this.at++;
		}
		String word = this.text.substring(from, this.at);
		switch (word) {
			case "true":
				return true;
			case "false":
				return false;
			case "null":
				return null;
			default:
				return (word.matches("-?\\d{1,18}")) ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
		}
	}

	private String string() {
		expect('"');
		StringBuilder out = new StringBuilder();
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c != '\\') {
				out.append(c);
				continue;
			}
			char escaped = this.text.charAt(this.at++);
			switch (escaped) {
				case 'n' -> out.append('\n');
				case 't' -> out.append('\t');
				case 'r' -> out.append('\r');
				case 'b' -> out.append('\b');
				case 'f' -> out.append('\f');
				case 'u' -> {
					out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> out.append(escaped);
			}
		}
		this.at++;
		return out.toString();
	}

	private void expect(char c) {
		if (this.text.charAt(this.at++) != c) {
			throw new IllegalArgumentException("no " + c + " at " + (this.at - 1));
		}
	}

}
