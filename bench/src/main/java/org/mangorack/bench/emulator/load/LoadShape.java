package org.mangorack.bench.emulator.load;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;

/**
 * The description of a deployment and its load.
 *
 * @param seconds the duration during which programs start, in seconds
 * @param dataCentres the number of data centres, to which entries and upstreams are
 * assigned round-robin
 * @param entries the number of entries
 * @param wayMillis the network round-trip time between caller and upstream, in
 * milliseconds
 * @param distanceMillis the additional round-trip time to another data centre, in
 * milliseconds
 * @param refreshMillis the interval at which an entry learns the calls of the others, in
 * milliseconds
 * @param attempts the maximum number of attempts per call
 * @param engines the engines
 * @param services the plain services
 * @param workspaces the workspaces
 * @param programs the kinds of programs
 * @param calls the kinds of plain calls
 * @param bursts the periods with an increased rate
 * @param faults the faults of upstreams
 */
public record LoadShape(int seconds, int dataCentres, int entries, double wayMillis, double distanceMillis,
		double refreshMillis, int attempts, EngineShape engines, ServiceShape services, WorkspaceShape workspaces,
		List<ProgramShape> programs, List<CallShape> calls, List<Burst> bursts, List<Fault> faults) {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.build();

	public LoadShape {
		positive("seconds", seconds);
		positive("dataCentres", dataCentres);
		positive("entries", entries);
		positive("refreshMillis", refreshMillis);
		positive("attempts", attempts);
		notNegative("wayMillis", wayMillis);
		notNegative("distanceMillis", distanceMillis);
		programs = List.copyOf(programs);
		calls = List.copyOf(calls);
		bursts = List.copyOf(bursts);
		faults = List.copyOf(faults);
		for (ProgramShape program : programs) {
			require("programs", engines.holds(program), "has prompts that no engine can hold");
		}
		for (Fault fault : faults) {
			int upstreams = fault.engine() ? engines.count() : services.count();
			require("faults", (fault.upstream() >= 0) && (fault.upstream() < upstreams), "names no upstream");
		}
	}

	/**
	 * Reads a file.
	 * @param file the file
	 * @return the load, or an error message
	 */
	public static Either<String, LoadShape> read(Path file) {
		try {
			return parse(Files.readAllBytes(file));
		}
		catch (IOException ex) {
			return Either.left(file + " cannot be read: " + ex.getMessage());
		}
	}

	/**
	 * Reads a bundled sample.
	 * @param name the name of the sample, such as {@code small}
	 * @return the load, or an error message
	 */
	public static Either<String, LoadShape> sample(String name) {
		try (InputStream stream = LoadShape.class.getResourceAsStream(name + ".json")) {
			return (stream != null) ? parse(stream.readAllBytes()) : Either.left("there is no sample " + name);
		}
		catch (IOException ex) {
			return Either.left("the sample " + name + " cannot be read: " + ex.getMessage());
		}
	}

	private static Either<String, LoadShape> parse(byte[] json) throws IOException {
		try {
			return Either.right(MAPPER.readValue(json, LoadShape.class));
		}
		catch (JsonProcessingException ex) {
			return Either.left("the load is not valid: " + ex.getOriginalMessage());
		}
	}

	private static void positive(String name, double value) {
		require(name, value > 0, "is not positive");
	}

	private static void notNegative(String name, double value) {
		require(name, value >= 0, "is negative");
	}

	private static void share(String name, double value) {
		require(name, (value >= 0) && (value <= 1), "is not between 0 and 1");
	}

	private static void require(String name, boolean condition, String problem) {
		if (!condition) {
			throw new IllegalArgumentException(name + " " + problem);
		}
	}

	/**
	 * The engines, which are identical.
	 *
	 * @param count the number of instances of this type
	 * @param slots the maximum number of running requests per engine
	 * @param queue the maximum number of queued requests per engine
	 * @param memoryTokens the memory of an engine in tokens
	 * @param stepMillis the base duration of a step, in milliseconds
	 * @param stepMillisPerRequest the additional duration of a step per running request,
	 * in milliseconds
	 * @param tokensPerMilli the number of prompt tokens processed per millisecond
	 * @param chunkTokens the maximum number of prompt tokens processed in a step
	 */
	public record EngineShape(int count, int slots, int queue, int memoryTokens, double stepMillis,
			double stepMillisPerRequest, double tokensPerMilli, int chunkTokens) {

		public EngineShape {
			positive("engines.count", count);
			positive("engines.slots", slots);
			notNegative("engines.queue", queue);
			positive("engines.memoryTokens", memoryTokens);
			positive("engines.stepMillis", stepMillis);
			notNegative("engines.stepMillisPerRequest", stepMillisPerRequest);
			positive("engines.tokensPerMilli", tokensPerMilli);
			positive("engines.chunkTokens", chunkTokens);
		}

		/**
		 * Returns the duration of a step.
		 * @param running the number of running requests
		 * @param read the number of prompt tokens processed in the step
		 * @return the duration in nanoseconds
		 */
		public long stepNanos(int running, int read) {
			return Math
				.round((this.stepMillis + (this.stepMillisPerRequest * running) + (read / this.tokensPerMilli)) * 1e6);
		}

		/**
		 * Returns the duration of a request on an otherwise idle engine.
		 * @param unread the number of prompt tokens that are not cached
		 * @param generated the number of tokens to generate, of which the first one is
		 * generated in the last step of prompt processing
		 * @return the duration in nanoseconds
		 */
		public long idleNanos(int unread, int generated) {
			long nanos = 0;
			int left = unread;
			do {
				int read = Math.min(left, this.chunkTokens);
				nanos += stepNanos(1, read);
				left -= read;
			}
			while (left > 0);
			return nanos + ((generated - 1) * stepNanos(1, 0));
		}

		private boolean holds(ProgramShape program) {
			long most = program.sharedTokens()
					+ (2L * program.turnTokens() * program.mostTurns() + (2L * program.outputTokens()));
			return most <= this.memoryTokens;
		}

	}

	/**
	 * The servers of plain services.
	 *
	 * @param count the number of instances of this type
	 * @param slots the maximum number of running calls per server
	 * @param queue the maximum number of queued calls per server
	 * @param speedSpread the maximum relative slowdown of a server; 0 if all have the
	 * same speed
	 */
	public record ServiceShape(int count, int slots, int queue, double speedSpread) {

		public ServiceShape {
			positive("services.count", count);
			positive("services.slots", slots);
			notNegative("services.queue", queue);
			notNegative("services.speedSpread", speedSpread);
		}

	}

	/**
	 * The workspaces, among which the rate of programs is divided.
	 *
	 * @param count the number of instances of this type
	 * @param skew the Zipf exponent of the shares; 0 for equal shares
	 */
	public record WorkspaceShape(int count, double skew) {

		public WorkspaceShape {
			positive("workspaces.count", count);
			notNegative("workspaces.skew", skew);
		}

	}

	/**
	 * A kind of program.
	 *
	 * @param name the name
	 * @param perSecond the number of programs started per second in all workspaces
	 * @param sharedTokens the number of tokens of the prompt prefix common to the kind
	 * @param turnTokens the mean number of tokens that a turn adds to the prompt
	 * @param outputTokens the mean number of tokens that a turn generates
	 * @param turns the mean number of turns
	 * @param subAgentShare the fraction of turns after which a sub-agent runs
	 * @param subAgentTurns the number of turns of a sub-agent
	 * @param pauseMillis the mean pause between turns, in milliseconds
	 * @param aimFactor the latency target as a multiple of the ideal latency
	 * @param aimMillis the constant added to that target, which is also the target for
	 * the first event of a turn, in milliseconds
	 * @param deadlineMillis the deadline of the first event of a turn, in milliseconds
	 */
	public record ProgramShape(String name, double perSecond, int sharedTokens, int turnTokens, int outputTokens,
			int turns, double subAgentShare, int subAgentTurns, double pauseMillis, double aimFactor, double aimMillis,
			double deadlineMillis) {

		private static final int MAX_TURNS_FACTOR = 4;

		public ProgramShape {
			positive("programs.perSecond", perSecond);
			positive("programs.sharedTokens", sharedTokens);
			positive("programs.turnTokens", turnTokens);
			positive("programs.outputTokens", outputTokens);
			positive("programs.turns", turns);
			share("programs.subAgentShare", subAgentShare);
			positive("programs.subAgentTurns", subAgentTurns);
			notNegative("programs.pauseMillis", pauseMillis);
			positive("programs.aimFactor", aimFactor);
			positive("programs.aimMillis", aimMillis);
			positive("programs.deadlineMillis", deadlineMillis);
		}

		int mostTurns() {
			return Math.max(this.turns * MAX_TURNS_FACTOR, this.subAgentTurns);
		}

	}

	/**
	 * A kind of plain call.
	 *
	 * @param name the name
	 * @param perTurn the fraction of turns that are followed by such a call
	 * @param workMillis the mean processing time, in milliseconds
	 * @param aimMillis the latency target, in milliseconds
	 * @param deadlineMillis the deadline, in milliseconds
	 * @param repeatable whether it may be retried after a failure
	 */
	public record CallShape(String name, double perTurn, double workMillis, double aimMillis, double deadlineMillis,
			boolean repeatable) {

		public CallShape {
			share("calls.perTurn", perTurn);
			positive("calls.workMillis", workMillis);
			positive("calls.aimMillis", aimMillis);
			positive("calls.deadlineMillis", deadlineMillis);
		}

	}

	/**
	 * A period with an increased rate.
	 *
	 * @param workspace the index of the workspace, or -1 for all of them
	 * @param fromSeconds the start time in seconds
	 * @param untilSeconds the end time in seconds
	 * @param factor the factor by which the rate is multiplied
	 */
	public record Burst(int workspace, double fromSeconds, double untilSeconds, double factor) {

		public Burst {
			notNegative("bursts.fromSeconds", fromSeconds);
			require("bursts.factor", factor >= 1, "is below 1");
		}

		double factor(int of, double seconds) {
			boolean applies = ((this.workspace < 0) || (this.workspace == of)) && (seconds >= this.fromSeconds)
					&& (seconds < this.untilSeconds);
			return applies ? this.factor : 1;
		}

	}

	/**
	 * A fault of an upstream.
	 *
	 * @param kind the kind of fault
	 * @param engine whether the upstream is an engine
	 * @param upstream the index of the upstream
	 * @param fromSeconds the start time in seconds
	 * @param untilSeconds the end time in seconds
	 * @param degree the severity, whose meaning depends on the kind
	 */
	public record Fault(FaultKind kind, boolean engine, int upstream, double fromSeconds, double untilSeconds,
			double degree) {

		public Fault {
			notNegative("faults.fromSeconds", fromSeconds);
			require("faults.untilSeconds", untilSeconds > fromSeconds, "is not after fromSeconds");
			require("faults.degree", kind.isDegree(degree), "does not fit the kind");
		}

	}

}
