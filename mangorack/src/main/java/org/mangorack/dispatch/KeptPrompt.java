package org.mangorack.dispatch;

/**
 * An upstream that probably keeps the beginning of a prompt.
 *
 * @param upstream the id of the upstream
 * @param tokens the size of the beginning that it keeps, in tokens
 */
public record KeptPrompt(String upstream, long tokens) {
}
