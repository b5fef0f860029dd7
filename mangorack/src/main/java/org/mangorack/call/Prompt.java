package org.mangorack.call;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The prompt of a turn as a list of parts. An engine that keeps a part and all parts
 * before it does not read them again.
 *
 * @param parts the parts, oldest first. The first one is often shared with other
 * programs, the last one belongs to the session of the turn and grows with it
 */
public record Prompt(List<Part> parts) {

	/**
	 * A prompt whose parts are unknown.
	 */
	public static final Prompt UNKNOWN = new Prompt(List.of());

	/**
	 * The largest number of parts that is read. Longer lists cost more to read than
	 * placement by them can save.
	 */
	public static final int MAX_PARTS = 256;

	private static final Pattern PART = Pattern.compile("([0-9a-fA-F]{1,64}):(\\d{1,9})");

	/**
	 * Creates a prompt.
	 */
	public Prompt {
		parts = List.copyOf(parts);
	}

	/**
	 * Reads a list of parts.
	 * @param text entries of the form {@code ID:TOKENS}, separated by commas, where ids
	 * are hexadecimal
	 * @return the prompt, or {@link #UNKNOWN} if any entry is malformed or there are more
	 * than {@link #MAX_PARTS}, since a list with holes says nothing about what is kept
	 */
	public static Prompt parse(String text) {
		List<Part> parts = new ArrayList<>();
		for (String entry : text.split(",", MAX_PARTS + 1)) {
			Matcher matcher = PART.matcher(entry.strip());
			if (!matcher.matches() || (parts.size() == MAX_PARTS)) {
				return UNKNOWN;
			}
			parts.add(new Part(matcher.group(1), Integer.parseInt(matcher.group(2))));
		}
		return new Prompt(parts);
	}

	/**
	 * Returns whether the parts are known.
	 * @return {@code false} for {@link #UNKNOWN}
	 */
	public boolean isKnown() {
		return !this.parts.isEmpty();
	}

	/**
	 * Returns the size of the prompt.
	 * @return the tokens of all parts
	 */
	public long tokens() {
		return this.parts.stream().mapToLong(Part::tokens).sum();
	}

	/**
	 * Returns the size of the part that other programs may share.
	 * @return the tokens of the first part, or 0 if it is the only one
	 */
	public int sharedTokens() {
		return (this.parts.size() > 1) ? this.parts.get(0).tokens() : 0;
	}

	/**
	 * Returns the id of the part that belongs to the session.
	 * @return the id of the last part of a known prompt
	 */
	public String sessionPart() {
		return this.parts.get(this.parts.size() - 1).id();
	}

	/**
	 * A part of a prompt.
	 *
	 * @param id identifies its content up to its growth
	 * @param tokens its size in tokens
	 */
	public record Part(String id, int tokens) {
	}

}
