package org.mangorack.bench.emulator.load;

/**
 * A part of a prompt. The same id names the same tokens after the same parts.
 *
 * @param id the part
 * @param tokens its tokens
 */
public record PromptPart(long id, int tokens) {
}
