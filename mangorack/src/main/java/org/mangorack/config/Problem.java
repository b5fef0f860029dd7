package org.mangorack.config;

/**
 * An invalid or missing value in a settings or configuration file.
 *
 * @param file the file that contains the value
 * @param path the JSON path of the value, such as {@code $.lease.ttlMillis}
 * @param value the value as JSON, or {@code null} if it is missing
 * @param reason why the value is invalid
 */
public record Problem(String file, String path, String value, String reason) {

	private static final int MAX_VALUE_LENGTH = 80;

	@Override
	public String toString() {
		if (this.value == null) {
			return this.file + ": " + this.path + ": " + this.reason;
		}
		String truncated = (this.value.length() > MAX_VALUE_LENGTH) ? this.value.substring(0, MAX_VALUE_LENGTH) + "..."
				: this.value;
		return this.file + ": " + this.path + ": " + truncated + " " + this.reason;
	}

}
