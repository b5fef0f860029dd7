package org.mangorack.operator;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.stream.Stream;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.NamedOptionDef;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * Prints the help of commands: the usage line, the description, and the subcommands,
 * arguments, options and examples.
 */
public final class Usage {

	/** Maximum line length, in characters. */
	private static final int WIDTH = 100;

	/** Indentation of the continuation lines of the usage line. */
	private static final String CONTINUATION_INDENT = " ".repeat(8);

	private static final String INDENT = "  ";

	private Usage() {
	}

	/**
	 * Prints the help of a command.
	 * @param command the command
	 * @param name the full name of the command, including its parent commands
	 * @param out the output stream
	 */
	public static void print(Object command, String name, PrintStream out) {
		print(new CmdLineParser(command), command.getClass(), name, out);
	}

	/**
	 * Prints a parse error, followed by the help of the command that was invoked.
	 * @param failure the parse error
	 * @param root the class of the top-level command
	 * @param name the name of the executable
	 * @param arguments the command-line arguments
	 * @param err the output stream
	 */
	public static void print(CmdLineException failure, Class<?> root, String name, String[] arguments,
			PrintStream err) {
		err.println(name + ": " + failure.getMessage());
		Class<?> type = root;
		String words = name;
		for (String argument : arguments) {
			SubCommand called = subCommands(type).filter((c) -> c.name().equals(argument)).findFirst().orElse(null);
			if (called == null) {
				break;
			}
			type = called.impl();
			words += " " + called.name();
		}
		print(failure.getParser(), type, words, err);
	}

	private static void print(CmdLineParser parser, Class<?> type, String name, PrintStream out) {
		List<OptionDef> arguments = parser.getArguments().stream().map((h) -> h.option).toList();
		List<NamedOptionDef> options = options(parser);
		out.println("usage: " + usageLine(name, arguments, options));
		CommandHelp help = type.getAnnotation(CommandHelp.class);
		if (help != null) {
			out.println();
			wrap(help.value(), WIDTH).forEach(out::println);
		}
		Map<String, String> commands = new LinkedHashMap<>();
		subCommands(type).forEach((c) -> commands.put(c.name(), summary(c.impl())));
		printSection("commands", commands, out);
		Map<String, String> positionals = new LinkedHashMap<>();
		arguments.forEach((a) -> positionals.put(a.metaVar(), a.usage()));
		printSection("arguments", positionals, out);
		Map<String, String> named = new LinkedHashMap<>();
		options.forEach((o) -> named.put(names(o), o.usage()));
		printSection("options", named, out);
		if (help != null) {
			out.println();
			out.println("example:");
			Stream.of(help.examples()).forEach((e) -> out.println(INDENT + e));
		}
	}

	// ---- Parts

	// Required options come first.
	private static List<NamedOptionDef> options(CmdLineParser parser) {
		return parser.getOptions()
			.stream()
			.map((h) -> (NamedOptionDef) h.option)
			.sorted(Comparator.comparing((NamedOptionDef o) -> !o.required()).thenComparing(NamedOptionDef::name))
			.toList();
	}

	private static Stream<SubCommand> subCommands(Class<?> type) {
		return Stream.of(type.getDeclaredFields())
			.filter((f) -> f.isAnnotationPresent(SubCommands.class))
			.flatMap((f) -> Stream.of(f.getAnnotation(SubCommands.class).value()));
	}

	private static String summary(Class<?> type) {
		CommandHelp help = type.getAnnotation(CommandHelp.class);
		return (help != null) ? help.value().replaceFirst("(?s)\\. .*", ".") : "";
	}

	private static String usageLine(String name, List<OptionDef> arguments, List<NamedOptionDef> options) {
		List<String> parts = new ArrayList<>();
		arguments.forEach((a) -> parts.add(a.metaVar() + (a.isMultiValued() ? "..." : "")));
		for (NamedOptionDef option : options) {
			String text = withValue(option.name(), option);
			parts.add(option.required() ? text : "[" + text + "]");
		}
		StringBuilder usage = new StringBuilder(name);
		int used = "usage: ".length() + name.length();
		for (String part : parts) {
			boolean fits = used + 1 + part.length() <= WIDTH;
			usage.append(fits ? " " : System.lineSeparator() + CONTINUATION_INDENT).append(part);
			used = (fits ? used + 1 : CONTINUATION_INDENT.length()) + part.length();
		}
		return usage.toString();
	}

	private static String names(NamedOptionDef option) {
		StringJoiner names = new StringJoiner(", ").add(option.name());
		Stream.of(option.aliases()).forEach(names::add);
		return withValue(names.toString(), option);
	}

	private static String withValue(String names, OptionDef option) {
		return option.metaVar().isEmpty() ? names : names + " " + option.metaVar();
	}

	// ---- Text

	private static void printSection(String title, Map<String, String> rows, PrintStream out) {
		if (rows.isEmpty()) {
			return;
		}
		int column = rows.keySet().stream().mapToInt(String::length).max().getAsInt();
		String empty = INDENT + " ".repeat(column) + INDENT;
		out.println();
		out.println(title + ":");
		rows.forEach((name, text) -> {
			String start = INDENT + name + " ".repeat(column - name.length()) + INDENT;
			List<String> lines = wrap(text, WIDTH - start.length());
			for (int i = 0; i < lines.size(); i++) {
				out.println(((i == 0) ? start : empty) + lines.get(i));
			}
		});
	}

	private static List<String> wrap(String text, int width) {
		List<String> lines = new ArrayList<>();
		StringBuilder line = new StringBuilder();
		for (String word : text.split(" ")) {
			if ((line.length() > 0) && (line.length() + 1 + word.length() > width)) {
				lines.add(line.toString());
				line.setLength(0);
			}
			line.append((line.length() > 0) ? " " : "").append(word);
		}
		lines.add(line.toString());
		return lines;
	}

}
