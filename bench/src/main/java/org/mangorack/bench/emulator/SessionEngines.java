package org.mangorack.bench.emulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangorack.bench.emulator.load.PlannedCall;
import org.mangorack.bench.emulator.load.PromptPart;
import org.mangorack.call.Prompt;
import org.mangorack.dispatch.KeptPrompt;

/**
 * The engines that served earlier turns, as all entries read them with the stored turns.
 */
final class SessionEngines {

	// By the last part of the prompt of a turn.
	private final Map<Long, String> engines = new HashMap<>();

	/**
	 * Returns the prompt of a turn as real entries see it.
	 * @param call the turn
	 * @return the prompt
	 */
	static Prompt prompt(PlannedCall call) {
		return new Prompt(call.prompt()
			.stream()
			.map((part) -> new Prompt.Part(Long.toHexString(part.id()), part.tokens()))
			.toList());
	}

	/**
	 * Returns the engine that keeps the prompt of the previous turn.
	 * @param call the turn
	 * @return the engine, or {@code null} if the turn is the first of its session
	 */
	KeptPrompt kept(PlannedCall call) {
		List<PromptPart> prompt = call.prompt();
		String engine = (prompt.size() > 2) ? this.engines.get(prompt.get(prompt.size() - 2).id()) : null;
		return (engine != null) ? new KeptPrompt(engine, call.promptTokens() - prompt.get(prompt.size() - 1).tokens())
				: null;
	}

	void served(PlannedCall call, String engine) {
		this.engines.put(call.prompt().get(call.prompt().size() - 1).id(), engine);
	}

}
