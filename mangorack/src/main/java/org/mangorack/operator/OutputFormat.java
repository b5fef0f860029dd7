package org.mangorack.operator;

/**
 * The formats of output. The names are those used on the command line.
 */
public enum OutputFormat {

	/** Text for people. */
	text,

	/** One JSON object a line. */
	json

}
