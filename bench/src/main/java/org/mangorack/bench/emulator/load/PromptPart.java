package org.mangorack.bench.emulator.load;

/**
 * A part of a prompt. Parts with the same identifier have the same tokens and the same
 * preceding parts.
 *
 * @param id the identifier
 * @param tokens the number of tokens
 */
public record PromptPart(long id, int tokens) {
}
