package org.mangorack.bench;

/**
 * A command of the benchmark tool.
 */
public interface BenchCommand {

	/**
	 * Runs the command.
	 * @return the exit status
	 * @throws Exception if the command fails
	 */
	int run() throws Exception;

}
