import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minimal JSON reader and writer: maps, lists, strings, longs, doubles, booleans, null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		Json json = new Json(text);
		return json.value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> map(Object value) {
		return (value instanceof Map) ? (Map<String, Object>) value : new LinkedHashMap<>();
	}

	static Map<String, Object> of(Object... pairs) {
		Map<String, Object> map = new LinkedHashMap<>();
		for (int i = 0; i < pairs.length; i += 2) {
			map.put((String) pairs[i], pairs[i + 1]);
		}
		return map;
	}

	private Object value() {
		space();
		char c = this.text.charAt(this.at);
		if (c == '{') {
			this.at++;
			Map<String, Object> map = new LinkedHashMap<>();
			for (space(); this.text.charAt(this.at) != '}'; space()) {
				String key = (String) value();
				space();
				this.at++;
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
			this.at++;
			List<Object> list = new ArrayList<>();
			for (space(); this.text.charAt(this.at) != ']'; space()) {
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
		int start = this.at;
		while ((this.at < this.text.length()) && (",]} \t\r\n".indexOf(this.text.charAt(this.at)) < 0)) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		switch (word) {
			case "true":
				return true;
			case "false":
				return false;
			case "null":
				return null;
			default:
				return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
		}
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		for (this.at++; this.text.charAt(this.at) != '"'; this.at++) {
			char c = this.text.charAt(this.at);
			if (c != '\\') {
				out.append(c);
				continue;
			}
			char escaped = this.text.charAt(++this.at);
			int plain = "nrtbf".indexOf(escaped);
			if (escaped == 'u') {
				out.append((char) Integer.parseInt(this.text.substring(this.at + 1, this.at + 5), 16));
				this.at += 4;
			}
			else {
				out.append((plain >= 0) ? "\n\r\t\b\f".charAt(plain) : escaped);
			}
		}
		this.at++;
		return out.toString();
	}

	private void space() {
		while ((this.at < this.text.length()) && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

	static String write(Object value) {
		if (value instanceof Map) {
			StringBuilder out = new StringBuilder("{");
			map(value).forEach((k, v) -> out.append((out.length() > 1) ? "," : "").append(write(k)).append(':').append(write(v)));
			return out.append('}').toString();
		}
		if (value instanceof List) {
			StringBuilder out = new StringBuilder("[");
			((List<?>) value).forEach((v) -> out.append((out.length() > 1) ? "," : "").append(write(v)));
			return out.append(']').toString();
		}
		if (value instanceof String) {
			StringBuilder out = new StringBuilder("\"");
			for (char c : ((String) value).toCharArray()) {
				if ((c < ' ') || (c == '"') || (c == '\\')) {
					out.append(String.format("\\u%04x", (int) c));
				}
				else {
					out.append(c);
				}
			}
			return out.append('"').toString();
		}
		return String.valueOf(value);
	}

}
