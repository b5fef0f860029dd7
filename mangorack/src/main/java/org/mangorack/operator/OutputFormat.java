package org.mangorack.operator;

/**
 * Output formats. The constants are spelled as on the command line.
 */
public enum OutputFormat {

	/** Human-readable text. */
	text,

	/** One JSON object per line. */
	json

}
