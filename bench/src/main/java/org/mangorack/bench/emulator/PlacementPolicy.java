package org.mangorack.bench.emulator;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;

import io.vavr.collection.Stream;
import io.vavr.control.Either;

import org.mangorack.dispatch.EngineTimes;
import org.mangorack.dispatch.PromptPlacement;
import org.mangorack.dispatch.UpstreamSubset;
import org.mangorack.relay.UpstreamChoice;

/**
 * How entries choose among upstreams. All but those that ask {@link UpstreamChoice} are
 * baselines, which do not leave failing upstreams aside.
 */
public enum PlacementPolicy {

	/** Any upstream. */
	RANDOM {
		@Override
		Placement placement(RandomGenerator random, String dataCentre, SessionEngines sessions) {
			return (candidates, call, affinity, now) -> candidates.get(random.nextInt(candidates.size()));
		}
	},

	/** The upstream with the fewest calls relative to its slots. */
	LEAST_LOADED {
		@Override
		Placement placement(RandomGenerator random, String dataCentre, SessionEngines sessions) {
			return (candidates, call, affinity, now) -> leastLoaded(candidates, random);
		}
	},

	/**
	 * The preferred upstream of a program while it has a free slot, otherwise the least
	 * loaded upstream.
	 */
	LEAST_LOADED_AFFINITY {
		@Override
		Placement placement(RandomGenerator random, String dataCentre, SessionEngines sessions) {
			return (candidates, call, affinity, now) -> {
				KnownUpstream affinityUpstream = (affinity != null)
						? UpstreamChoice.affinityUpstream(candidates, affinity) : null;
				return ((affinityUpstream != null) && (affinityUpstream.load() < 1)) ? affinityUpstream
						: leastLoaded(candidates, random);
			};
		}
	},

	/** The policy of real entries for calls without affinity. */
	BEST_OF_THREE {
		@Override
		Placement placement(RandomGenerator random, String dataCentre, SessionEngines sessions) {
			UpstreamChoice<KnownUpstream> choice = new UpstreamChoice<>(random, dataCentre);
			return (candidates, call, affinity, now) -> choice.choose(candidates, null, now);
		}
	},

	/** The policy of real entries for calls with affinity. */
	BEST_OF_THREE_AFFINITY {
		@Override
		Placement placement(RandomGenerator random, String dataCentre, SessionEngines sessions) {
			UpstreamChoice<KnownUpstream> choice = new UpstreamChoice<>(random, dataCentre);
			return (candidates, call, affinity, now) -> choice.choose(candidates, affinity, now);
		}
	},

	/** The policy of real entries for large models. */
	KEPT_PROMPT {
		@Override
		Placement placement(RandomGenerator random, String dataCentre, SessionEngines sessions) {
			UpstreamChoice<KnownUpstream> choice = new UpstreamChoice<>(random, dataCentre);
			PromptPlacement<KnownUpstream> prompts = new PromptPlacement<>(random, dataCentre,
					new UpstreamSubset(Long.toString(random.nextLong()), dataCentre));
			EngineTimes times = new EngineTimes();
			return (candidates, call, affinity, now) -> {
				if (!call.isTurn()) {
					return choice.choose(candidates, null, now);
				}
				KnownUpstream chosen = prompts.choose(candidates, SessionEngines.prompt(call), sessions.kept(call),
						times, now);
				sessions.served(call, chosen.id());
				return chosen;
			};
		}

		@Override
		boolean measuresGeneration() {
			return true;
		}
	};

	/**
	 * Finds a policy by its name.
	 * @param text the name, such as {@code least-loaded}
	 * @return the policy, or an error message
	 */
	public static Either<String, PlacementPolicy> parse(String text) {
		return Stream.of(values())
			.find((policy) -> policy.label().equals(text))
			.toEither(() -> "there is no policy " + text + ", only "
					+ String.join(", ", Arrays.stream(values()).map(PlacementPolicy::label).toList()));
	}

	/**
	 * Returns the name of the policy on the command line and in tables.
	 * @return the name
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Creates the placement of an entry.
	 * @param random the source of randomness
	 * @param dataCentre the data centre of the entry
	 * @param sessions the engines that served earlier turns
	 * @return the placement
	 */
	abstract Placement placement(RandomGenerator random, String dataCentre, SessionEngines sessions);

	/**
	 * Returns whether entries measure the speed of engines by the generation of turns
	 * instead of their first events.
	 * @return {@code true} if they do
	 */
	boolean measuresGeneration() {
		return false;
	}

	// Starts at a random index, so that ties are broken randomly.
	private static KnownUpstream leastLoaded(List<KnownUpstream> candidates, RandomGenerator random) {
		int first = random.nextInt(candidates.size());
		KnownUpstream least = candidates.get(first);
		for (int i = 1; i < candidates.size(); i++) {
			KnownUpstream next = candidates.get((first + i) % candidates.size());
			if (next.load() < least.load()) {
				least = next;
			}
		}
		return least;
	}

}
