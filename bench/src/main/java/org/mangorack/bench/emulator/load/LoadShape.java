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
 * Describes a deployment and its load.
 *
 * @param seconds for how long programs start
 * @param dataCentres the number of data centres, over which entries and upstreams are
 * spread in turn
 * @param entries the number of entries
 * @param wayMillis the way of a call from its caller to an upstream and back, in
 * milliseconds
 * @param distanceMillis what another data centre adds to it, in milliseconds
 * @param refreshMillis how often an entry hears of the calls of others, in milliseconds
 * @param attempts to how many upstreams a call is sent at most
 * @param engines the engines
 * @param services the plain services
 * @param workspaces the workspaces
 * @param programs the kinds of programs
 * @param calls the kinds of plain calls
 * @param bursts times of a higher rate
 * @param faults faults of upstreams
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
	 * @return the load, or what is wrong with the file
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
	 * Reads a sample that comes with the bench.
	 * @param name the name of the sample, such as {@code small}
	 * @return the load, or what is wrong with the name
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
	 * The engines, all alike.
	 *
	 * @param count how many there are
	 * @param slots the requests that one runs at once
	 * @param queue the requests that wait for a slot at one
	 * @param memoryTokens the tokens that one holds
	 * @param stepMillis the time of a step, in milliseconds
	 * @param stepMillisPerRequest what each running request adds to it, in milliseconds
	 * @param tokensPerMilli the prompt tokens that are read in a millisecond
	 * @param chunkTokens the prompt tokens that are read in a step at most
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
		 * Returns the time of a step.
		 * @param running the requests that run
		 * @param read the prompt tokens that are read in it
		 * @return the time, in nanoseconds
		 */
		public long stepNanos(int running, int read) {
			return Math
				.round((this.stepMillis + (this.stepMillisPerRequest * running) + (read / this.tokensPerMilli)) * 1e6);
		}

		/**
		 * Returns the time of a request that runs alone.
		 * @param unread the prompt tokens that are not held yet
		 * @param generated the tokens to be generated; the first one needs no step of its
		 * own
		 * @return the time, in nanoseconds
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
	 * @param count how many there are
	 * @param slots the calls that one runs at once
	 * @param queue the calls that wait for a slot at one
	 * @param speedSpread by what part the slowest takes longer than the fastest
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
	 * The workspaces, which share the rates of programs.
	 *
	 * @param count how many there are
	 * @param skew the exponent by which the share falls from one to the next; 0 for equal
	 * shares
	 */
	public record WorkspaceShape(int count, double skew) {

		public WorkspaceShape {
			positive("workspaces.count", count);
			notNegative("workspaces.skew", skew);
		}

	}

	/**
	 * A kind of programs.
	 *
	 * @param name the name
	 * @param perSecond how many start a second, over all workspaces
	 * @param sharedTokens the tokens that all prompts of the kind begin with
	 * @param turnTokens the mean tokens that a turn adds to the prompt
	 * @param outputTokens the mean tokens that a turn generates
	 * @param turns the mean number of turns
	 * @param subAgentShare the part of turns after which a sub-agent runs
	 * @param subAgentTurns the turns of a sub-agent
	 * @param pauseMillis the mean pause between turns, in milliseconds
	 * @param aimFactor the part of its aim that is a multiple of its ideal time
	 * @param aimMillis the part of its aim that is not, and the aim of the first event of
	 * a turn, in milliseconds
	 * @param deadlineMillis how long its caller waits for the first event of a turn, in
	 * milliseconds
	 */
	public record ProgramShape(String name, double perSecond, int sharedTokens, int turnTokens, int outputTokens,
			int turns, double subAgentShare, int subAgentTurns, double pauseMillis, double aimFactor, double aimMillis,
			double deadlineMillis) {

		private static final int MOST_TURNS = 4;

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
			return Math.max(this.turns * MOST_TURNS, this.subAgentTurns);
		}

	}

	/**
	 * A kind of plain calls.
	 *
	 * @param name the name
	 * @param perTurn the part of turns after which a program makes one
	 * @param workMillis the mean time of its work, in milliseconds
	 * @param aimMillis the time in which the answer is due, in milliseconds
	 * @param deadlineMillis how long its caller waits, in milliseconds
	 * @param repeatable whether it may be sent again after a failure
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
	 * A time of a higher rate.
	 *
	 * @param workspace the number of the workspace, or -1 for all of them
	 * @param fromSeconds when it begins, in seconds
	 * @param untilSeconds when it ends, in seconds
	 * @param factor the multiple of the usual rate
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
	 * @param kind what is wrong
	 * @param engine whether the upstream is an engine
	 * @param upstream the number of the upstream
	 * @param fromSeconds when it begins, in seconds
	 * @param untilSeconds when it ends, in seconds
	 * @param degree how bad it is, by its kind
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
