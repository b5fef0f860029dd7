package org.mangorack.call;

import java.util.regex.Pattern;

/**
 * The syntax of all identifiers that callers and operators choose.
 */
public final class Identifiers {

	/**
	 * Maximum length of an identifier, in characters.
	 */
	public static final int MAX_LENGTH = 128;

	private static final Pattern SYNTAX = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

	private Identifiers() {
	}

	/**
	 * Returns whether a string is a valid identifier.
	 * @param text the string, or {@code null}
	 * @return {@code true} if the string is a valid identifier
	 */
	public static boolean isValid(String text) {
		return (text != null) && (text.length() <= MAX_LENGTH) && SYNTAX.matcher(text).matches();
	}

	/**
	 * Checks that a string is a valid identifier.
	 * @param what the kind of identifier, for the error message
	 * @param text the identifier
	 * @return the identifier
	 * @throws IllegalArgumentException if the string is not a valid identifier
	 */
	public static String require(String what, String text) {
		if (!isValid(text)) {
			throw new IllegalArgumentException(
					what + " \"" + text + "\" is not made of letters, digits, '.', '_' and '-'");
		}
		return text;
	}

}
