package org.mangorack.operator;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Option;

import org.mangorack.http.HttpAddress;

/**
 * Base class of the commands that call the operator API of an instance.
 */
public abstract class OperatorCommand extends Command {

	private static final String KEY_VARIABLE = "MANGORACK_OPERATOR_KEY";

	@Option(name = "--instance", metaVar = "HOST:PORT", required = true,
			usage = "operators' address of an instance; may be repeated, the first that answers is used")
	private List<String> instances = new ArrayList<>();

	@Option(name = "--operator-key-file", metaVar = "FILE",
			usage = "file that holds the operators' key; without it the environment variable " + KEY_VARIABLE
					+ " is used")
	private Path keyFile;

	@Option(name = "--format", metaVar = "FORMAT", usage = "format of the output, text or json; text if left out")
	private OutputFormat format = OutputFormat.text;

	// ---- Accessors

	/**
	 * Creates a client for the instances given on the command line.
	 * @return the client
	 * @throws CommandException if an address is invalid or the key cannot be read
	 */
	protected OperatorClient client() throws CommandException {
		List<HttpAddress> addresses = new ArrayList<>();
		for (String text : this.instances) {
			try {
				addresses.add(HttpAddress.parse(text));
			}
			catch (IllegalArgumentException ex) {
				throw new CommandException(ExitStatus.USAGE, "--instance: " + ex.getMessage());
			}
		}
		return new OperatorClient(addresses, key());
	}

	/**
	 * Prints a result in the selected output format.
	 * @param out the output stream
	 * @param json the result as JSON
	 * @param text the result as text
	 */
	protected void print(PrintStream out, JsonNode json, String text) {
		out.println((this.format == OutputFormat.json) ? json.toString() : text);
	}

	// ---- Helpers

	private String key() throws CommandException {
		if (this.keyFile == null) {
			String key = System.getenv(KEY_VARIABLE);
			if (key == null) {
				throw new CommandException(ExitStatus.USAGE,
						"neither --operator-key-file nor " + KEY_VARIABLE + " is given");
			}
			return key.strip();
		}
		try {
			return Files.readString(this.keyFile).strip();
		}
		catch (IOException ex) {
			throw new CommandException(ExitStatus.USAGE, "--operator-key-file: " + this.keyFile + " cannot be read");
		}
	}

}
