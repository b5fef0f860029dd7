package org.mangorack.bench.fleet;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32;

import org.mangorack.bench.fleet.CallerConnection.Answer;
import org.mangorack.bench.fleet.GivenAnswers.Mix;
import org.mangorack.operator.Main;

/**
 * Records every request of the callers with its arrivals at upstreams and its answer, and
 * checks them against what is promised to callers, while the run goes on.
 */
final class RequestLedger {

	/** For how long after a disturbance machines may still suffer from it. */
	static final Duration CONTACT = Duration.ofSeconds(5);

	/**
	 * How long after its last byte a request that was not passed on may meet a close.
	 */
	static final Duration CLOSE_SLACK = Duration.ofMillis(200);

	/**
	 * How many requests that were passed on may end in a close without an answer while
	 * their entry is in touch.
	 */
	static final int MAX_CLOSED = 3;

	private static final int DELAY_INTERVAL_MS = 10;

	private static final double DELAY_FADING = 0.99;

	private static final int MAX_EXPLAINED = 10;

	private static final Pattern CODE = Pattern.compile("\"error\":\"([a-z_]+)\"");

	private final Map<String, Entry> entries = new ConcurrentHashMap<>();

	private final Queue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();

	private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();

	private final GivenAnswers given = new GivenAnswers();

	private final Map<String, AtomicInteger> mixed = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();

	private final AtomicLong delay = new AtomicLong();

	private final Map<String, AtomicInteger> recoveryCounts = new ConcurrentHashMap<>();

	private volatile boolean recovering;

	private final Queue<FaultOfAll> faultsOfAll = new ConcurrentLinkedQueue<>();

	private final Queue<Repair> repairs = new ConcurrentLinkedQueue<>();

	private final Map<String, AtomicInteger> closed = new ConcurrentHashMap<>();

	private final AtomicInteger closedCount = new AtomicInteger();

	private final LongSupplier clock;

	private final long startedAt;

	RequestLedger() {
		this(System::nanoTime);
	}

	/**
	 * Creates a ledger with a clock of its own.
	 * @param clock the time in nanoseconds
	 */
	RequestLedger(LongSupplier clock) {
		this.clock = clock;
		this.startedAt = clock.getAsLong();
		FleetProcesses.startDaemon("delay", this::measureDelay);
	}

	// A caller on a busy machine sees a close late. The largest delay fades over seconds.
	private void measureDelay() {
		while (true) {
			long before = System.nanoTime();
			ScriptedUpstream.sleep(DELAY_INTERVAL_MS);
			long late = System.nanoTime() - before - TimeUnit.MILLISECONDS.toNanos(DELAY_INTERVAL_MS);
			this.delay.set(Math.max(late, (long) (this.delay.get() * DELAY_FADING)));
		}
	}

	// ---- Disturbances

	/**
	 * Records the begin of planned work, around which no answer may be lost.
	 * @param kind what is done
	 * @return the work, whose end is to be recorded
	 */
	Disturbance beginPlanned(String kind) {
		return begin(new Disturbance(kind, Scope.PLANNED, "", this.clock.getAsLong()));
	}

	/**
	 * Records the begin of something unplanned at one machine.
	 * @param kind what happens
	 * @param instance the instance that runs on the machine
	 * @param storing whether the machine stores turns, so that all entries depend on it
	 * @return the disturbance, whose end is to be recorded
	 */
	Disturbance begin(String kind, String instance, boolean storing) {
		return begin(new Disturbance(kind + " " + instance, storing ? Scope.STORING : Scope.ENTRY, instance,
				this.clock.getAsLong()));
	}

	private Disturbance begin(Disturbance disturbance) {
		this.disturbances.add(disturbance);
		note("begin " + disturbance.kind);
		return disturbance;
	}

	/**
	 * Records the end of a disturbance.
	 * @param disturbance the disturbance
	 */
	void end(Disturbance disturbance) {
		disturbance.end(this.clock.getAsLong());
		note("end " + disturbance.kind);
	}

	/**
	 * Returns when the last machine that was disturbed was back.
	 * @return the time of the clock in nanoseconds; the start of the run if none was
	 * disturbed
	 */
	long lastBackAt() {
		return this.disturbances.stream()
			.filter((d) -> (d.scope != Scope.PLANNED) && d.ended)
			.mapToLong((d) -> d.endedAt)
			.reduce(this.startedAt, (a, b) -> (a - b > 0) ? a : b);
	}

	/**
	 * Records that all processes are down.
	 * @return the fault, of which {@link FaultOfAll#back()} is to be told
	 */
	FaultOfAll allDown() {
		FaultOfAll fault = new FaultOfAll();
		this.faultsOfAll.add(fault);
		return fault;
	}

	/**
	 * Returns how long after each fault of all no turn was served.
	 * @return the times, from when the last process was told to start; negative if one
	 * was served before, and {@code null} if none was served any more
	 */
	List<Duration> timesToServe() {
		List<Duration> times = new ArrayList<>();
		this.faultsOfAll.forEach((f) -> times.add(f.timeToServe()));
		return times;
	}

	/**
	 * Records that disks were lost, whose keepers are back.
	 * @param disks the disks
	 * @return the repair, whose end is to be recorded
	 */
	Repair beginRepair(String disks) {
		Repair repair = new Repair(disks);
		this.repairs.add(repair);
		return repair;
	}

	/**
	 * Describes how long the group took to be whole after losses of disks.
	 * @return the median and the longest time, and how many losses were not repaired
	 */
	String describeRepairs() {
		List<Duration> times = this.repairs.stream().map((r) -> r.time).filter(Objects::nonNull).sorted().toList();
		int open = this.repairs.size() - times.size();
		if (times.isEmpty()) {
			return "no loss of disks repaired, " + open + " not repaired";
		}
		Duration middle = times.get((times.size() - 1) / 2).plus(times.get(times.size() / 2)).dividedBy(2);
		return String.format("%d losses of disks repaired in %.1f s (median) and %.1f s (max), %d not repaired",
				times.size(), middle.toMillis() / 1e3, times.get(times.size() - 1).toMillis() / 1e3, open);
	}

	/**
	 * Records the begin or end of the last seconds of the recovery after the final fault,
	 * whose outcomes are counted apart.
	 * @param value whether they have begun
	 */
	void setRecovering(boolean value) {
		this.recovering = value;
	}

	/**
	 * Returns how many requests had which outcome in the last seconds of the recovery.
	 * @return the counts by kind and outcome
	 */
	Map<String, Integer> recoveryCounts() {
		return copy(this.recoveryCounts);
	}

	/**
	 * Records that a process ended by itself.
	 * @param process the process
	 * @param status its exit status
	 * @param tolerated whether its machine was disturbed until shortly before
	 */
	void exited(FleetProcess process, int status, boolean tolerated) {
		String text = "ended by itself with status " + status;
		if (tolerated) {
			note(process + " " + text + " while disturbed");
		}
		else {
			violate(Rule.EXIT, process.name(), process.name(), text);
		}
	}

	/**
	 * Prints a line with the time since the start of the run.
	 * @param text the text
	 */
	void note(String text) {
		System.out.printf("%8.3f %s%n", seconds(this.clock.getAsLong()), text);
	}

	private double seconds(long at) {
		return (at - this.startedAt) / 1e9;
	}

	// ---- Requests

	/**
	 * Records that a request is sent.
	 * @param id its id
	 * @param kind what it is
	 * @param instance the entry that it is sent to
	 * @param previous the turn that it continues, or {@code null}
	 */
	void sending(String id, Kind kind, String instance, String previous) {
		this.entries.put(id, new Entry(id, kind, instance, previous, this.clock.getAsLong()));
	}

	/**
	 * Records that a request has arrived at an upstream, which runs it.
	 * @param id its id
	 */
	void arrived(String id) {
		Entry entry = (id != null) ? this.entries.get(id) : null;
		if (entry == null) {
			violate(Rule.UNASKED, String.valueOf(id), "-", "ran, but was never sent");
			return;
		}
		entry.offered = true;
		entry.arrivedAt = this.clock.getAsLong();
		int runs = entry.runs.incrementAndGet();
		if ((runs > 1) && !entry.kind.isRepeatable()) {
			violate(Rule.TWICE, id, entry.instance, "ran " + runs + " times");
		}
		if (entry.refused) {
			violate(Rule.REFUSED, id, entry.instance, "ran after its refusal");
		}
	}

	/**
	 * Records that a request has arrived at an upstream, which refuses to run it.
	 * @param id its id
	 */
	void offered(String id) {
		Entry entry = (id != null) ? this.entries.get(id) : null;
		if (entry == null) {
			violate(Rule.UNASKED, String.valueOf(id), "-", "reached an upstream, but was never sent");
			return;
		}
		entry.offered = true;
	}

	/**
	 * Records that an upstream broke off its answer to a request, or that other bytes
	 * were written on the connection, so that the entry may have no answer to give.
	 * @param id the id of the request
	 */
	void spoiled(String id) {
		Entry entry = (id != null) ? this.entries.get(id) : null;
		if (entry != null) {
			entry.spoiled = true;
		}
	}

	/**
	 * Records how an upstream treats a request, to describe broken promises with it.
	 * @param id the id of the request
	 * @param fault the fault
	 */
	void faulty(String id, UpstreamFault fault) {
		Entry entry = (id != null) ? this.entries.get(id) : null;
		if (entry != null) {
			entry.faults.add(fault);
		}
	}

	/**
	 * Records what an upstream gives, before it writes it.
	 * @param response the response
	 * @param whole whether it writes all of it
	 */
	void gave(UpstreamResponse response, boolean whole) {
		this.given.add(response, whole);
	}

	/**
	 * Checks bytes that a caller received while it waited for no answer.
	 * @param bytes the bytes
	 * @param instance the entry that sent them
	 * @param last the id of the last request on the connection
	 */
	void unawaited(String bytes, String instance, String last) {
		GivenAnswers.checkUnawaited(bytes)
			.ifPresentOrElse((mix) -> mixed(mix, last, instance, "\"" + bytes + "\" while no request was waiting"),
					() -> note("a failure while no request was waiting, after " + last + " at " + instance));
	}

	private void mixed(Mix mix, String id, String instance, String text) {
		this.mixed.computeIfAbsent(mix.name(), (k) -> new AtomicInteger()).incrementAndGet();
		violate(Rule.MIXED, id, instance, mix + ": " + text);
	}

	/**
	 * Returns how many answers were mixed up in which way.
	 * @return the counts by the name of {@link Mix}
	 */
	Map<String, Integer> mixedCounts() {
		return copy(this.mixed);
	}

	boolean hasArrived(String id) {
		return this.entries.get(id).offered;
	}

	/**
	 * Records and checks the answer of a request.
	 * @param id the id of the request
	 * @param answer the answer
	 * @param digest the digest of the body that the upstream should have got
	 */
	void answered(String id, Answer answer, String digest) {
		Entry entry = this.entries.get(id);
		long now = this.clock.getAsLong();
		Optional<Mix> mix = this.given.check(id, answer);
		if (mix.isPresent()) {
			count(entry.kind, "mixed");
			mixed(mix.get(), id, entry.instance, this.given.describe(answer) + ", faults " + entry.faults);
			return;
		}
		if (!answer.isWhole()) {
			checkUnanswered(entry, answer, now);
			return;
		}
		count(entry.kind, answer.status() + code(answer));
		if (answer.status() == 200) {
			checkServed(entry, answer, digest);
		}
		else if (isPromise(answer.status())) {
			entry.refused = true;
			if (entry.runs.get() > 0) {
				violate(Rule.REFUSED, id, entry.instance, answer.status() + code(answer) + " after it had run");
			}
		}
		else if (((answer.status() == 404) || (answer.status() == 410)) && (entry.previous != null)) {
			violate(Rule.LOST_TURN, id, entry.instance,
					answer.status() + code(answer) + " to continue " + entry.previous + describe(entry.previous));
		}
		else if (answer.status() / 100 == 4) {
			violate(Rule.DENIED, id, entry.instance, answer.status() + code(answer));
		}
	}

	private void checkServed(Entry entry, Answer answer, String digest) {
		entry.servedAt = this.clock.getAsLong();
		if (entry.kind == Kind.TURN) {
			this.faultsOfAll.forEach((f) -> f.served(entry));
		}
		String body = answer.body();
		List<String> pieces = body.startsWith("id:") ? events(body) : List.of(body);
		for (int i = 0; i < pieces.size(); i++) {
			String[] words = pieces.get(i).split("[ /]");
			if ((words.length != 4) || !words[0].equals(entry.id)) {
				violate(Rule.MIXED, entry.id, entry.instance, "got \"" + pieces.get(i) + "\"");
				return;
			}
			if ((Integer.parseInt(words[1]) != i + 1) || (Integer.parseInt(words[2]) != pieces.size())) {
				// A run of a repeated safe request is whole by itself.
				violate(Rule.ORDER, entry.id, entry.instance, "events " + pieces);
				return;
			}
			if (!words[3].equals(digest)) {
				violate(Rule.UNASKED, entry.id, entry.instance, "ran with another body than " + digest);
				return;
			}
		}
		if (pieces.isEmpty()) {
			violate(Rule.ORDER, entry.id, entry.instance, "no events");
		}
	}

	private void checkUnanswered(Entry entry, Answer answer, long now) {
		if (entry.spoiled) {
			count(entry.kind, "cut after its upstream");
			return;
		}
		boolean inTime = now - entry.sentAt < entry.kind.time().toNanos();
		if (inTime && (entry.runs.get() > 0) && isInTouch(entry.instance, entry.arrivedAt, now)) {
			closedInTouch(entry, answer, now);
		}
		String what = "status " + answer.status() + ", " + answer.failure() + ", after "
				+ Duration.ofNanos(now - entry.sentAt).toMillis() + " ms, ran " + entry.runs.get() + " times, request "
				+ answer.number() + " of its connection, faults " + entry.faults;
		if (!answer.isSent()) {
			count(entry.kind, "not sent");
		}
		else if ((answer.status() == 0) && (entry.runs.get() == 0)
				&& (now - entry.sentAt < CLOSE_SLACK.toNanos() + this.delay.get())) {
			count(entry.kind, "crossed a close");
		}
		else if (isDisturbed(entry.instance, entry.sentAt - CONTACT.toNanos(), now)) {
			count(entry.kind, "cut while disturbed");
		}
		else if (!inTime) {
			count(entry.kind, "cut at its deadline");
			note("late: " + entry.kind + " " + entry.id + " at " + entry.instance + ": " + what);
		}
		else {
			count(entry.kind, "cut");
			violate(Rule.LOST_ANSWER, entry.id, entry.instance, what + ", around " + planned(entry.sentAt, now));
		}
	}

	// The requests are counted whatever else is reported about them.
	private void closedInTouch(Entry entry, Answer answer, long now) {
		String cause = ((answer.status() == 0) ? "no answer" : "answer cut short") + ", " + answer.failure();
		String group = entry.instance + ", request " + answer.number() + " of its connection, " + cause;
		this.closed.computeIfAbsent(group, (k) -> new AtomicInteger()).incrementAndGet();
		String text = "passed on, but closed after " + Duration.ofNanos(now - entry.sentAt).toMillis() + " of "
				+ entry.kind.time().toMillis() + " ms in touch: " + group;
		if (this.closedCount.incrementAndGet() > MAX_CLOSED) {
			violate(Rule.CLOSED, entry.id, entry.instance, text);
		}
		else {
			note(text + " (" + entry.kind + " " + entry.id + ")");
		}
	}

	/**
	 * Returns how many requests were passed on and closed without an answer while their
	 * entry was in touch.
	 * @return the counts by entry, number of the request on its connection, and cause
	 */
	Map<String, Integer> closed() {
		return copy(this.closed);
	}

	/**
	 * Records that a turn which was answered whole was not served in several tries.
	 * @param previous the turn
	 * @param last the last answer
	 * @param entry the entry that gave it
	 */
	void unreachable(String previous, Answer last, FleetProcess entry) {
		violate(Rule.LOST_REACH, previous, entry.name(),
				"not continued in any try, last " + last.status() + code(last) + describe(previous));
	}

	/**
	 * Checks the tries to continue a turn after the final fault.
	 * @param previous the turn, which was answered whole
	 * @param tries the ids of the requests that tried to continue it in the last seconds
	 * of the recovery
	 * @param last the last answer
	 */
	void triedInRecovery(String previous, List<String> tries, Answer last) {
		if (!tries.isEmpty() && tries.stream().noneMatch(this::hasArrived)) {
			String lastTry = tries.get(tries.size() - 1);
			violate(Rule.LATE_REACH, lastTry, this.entries.get(lastTry).instance,
					"no upstream reached in " + tries.size() + " tries of the last seconds of the recovery, last "
							+ last.status() + code(last) + ", to continue " + previous + describe(previous));
		}
	}

	/**
	 * Checks the tries of a turn that was not served.
	 * @param tries the ids of the requests, the first one first
	 * @param last the last answer
	 */
	void triedInVain(List<String> tries, Answer last) {
		if (tries.stream().anyMatch(this::hasArrived)) {
			return;
		}
		Entry first = this.entries.get(tries.get(0));
		long now = this.clock.getAsLong();
		if (this.disturbances.stream()
			.anyMatch((d) -> (d.scope != Scope.PLANNED) && d.overlaps(first.sentAt - CONTACT.toNanos(), now))) {
			count(first.kind, "tried in vain while disturbed");
			return;
		}
		violate(Rule.CALM_REACH, first.id, first.instance,
				String.format(
						"no upstream reached in %d tries in calm, last %d%s, %.3f s after the last machine was back%s",
						tries.size(), last.status(), code(last), (first.sentAt - lastBackAt()) / 1e9,
						(first.previous != null) ? ", to continue " + first.previous + describe(first.previous) : ""));
	}

	private boolean isDisturbed(String instance, long from, long to) {
		return this.disturbances.stream().anyMatch((d) -> d.affects(instance) && d.overlaps(from, to));
	}

	// Entries lose touch when a machine that stores goes or comes back, not while it is
	// away.
	private boolean isInTouch(String instance, long from, long to) {
		long since = from - CONTACT.toNanos();
		return this.disturbances.stream()
			.noneMatch((d) -> d.affects(instance)
					&& ((d.scope == Scope.STORING) ? d.changesWithin(since, to) : d.overlaps(since, to)));
	}

	private List<String> planned(long from, long to) {
		return this.disturbances.stream()
			.filter((d) -> (d.scope == Scope.PLANNED) && d.overlaps(from - CONTACT.toNanos(), to))
			.map((d) -> d.kind)
			.toList();
	}

	private String describe(String turn) {
		Entry entry = this.entries.get(turn);
		return String.format(", which was served by %s at %.3f", entry.instance, seconds(entry.servedAt));
	}

	/**
	 * Returns the data of the events of a stream.
	 * @param body the body of the answer
	 * @return the data, one element an event
	 */
	static List<String> events(String body) {
		List<String> events = new ArrayList<>();
		for (String line : body.split("\n")) {
			if (line.startsWith("data: ")) {
				events.add(line.substring(6));
			}
		}
		return events;
	}

	/**
	 * Tells whether a request was refused for itself, so that no other try is of use.
	 * @param status the status of the answer
	 * @return {@code true} if it was
	 */
	static boolean isDenial(int status) {
		return (status / 100 == 4) && !isPromise(status);
	}

	private static boolean isPromise(int status) {
		return (status == 402) || (status == 408) || (status == 421) || (status == 429) || (status == 503);
	}

	private static String code(Answer answer) {
		Matcher code = CODE.matcher(answer.body());
		return code.find() ? " " + code.group(1) : "";
	}

	/**
	 * Returns a short digest of a text.
	 * @param text the text
	 * @return the digest in hexadecimal
	 */
	static String digest(String text) {
		CRC32 crc = new CRC32();
		crc.update(text.getBytes(StandardCharsets.ISO_8859_1));
		return Long.toHexString(crc.getValue());
	}

	// ---- Results

	private void count(Kind kind, String outcome) {
		this.counts.computeIfAbsent(kind + " " + outcome, (k) -> new AtomicInteger()).incrementAndGet();
		if (this.recovering) {
			this.recoveryCounts.computeIfAbsent(kind + " " + outcome, (k) -> new AtomicInteger()).incrementAndGet();
		}
	}

	void violate(Rule rule, String id, String instance, String text) {
		Violation violation = new Violation(rule, id, instance, text);
		this.violations.add(violation);
		note("VIOLATION " + violation + " (" + Instant.now() + ")");
	}

	/**
	 * Returns the broken promises.
	 * @return the violations, in the order of time
	 */
	List<Violation> violations() {
		return List.copyOf(this.violations);
	}

	/**
	 * Returns how many requests had which outcome.
	 * @return the counts by kind and outcome
	 */
	Map<String, Integer> counts() {
		return copy(this.counts);
	}

	private static Map<String, Integer> copy(Map<String, AtomicInteger> counts) {
		Map<String, Integer> result = new TreeMap<>();
		counts.forEach((name, count) -> result.put(name, count.get()));
		return result;
	}

	/**
	 * Prints what the logs of the processes say about the first violations of each rule.
	 * @param processes the processes
	 */
	void explain(List<FleetProcess> processes) {
		Map<Rule, List<Violation>> byRule = new LinkedHashMap<>();
		this.violations.forEach((v) -> byRule.computeIfAbsent(v.rule(), (r) -> new ArrayList<>()).add(v));
		byRule.forEach((rule, list) -> {
			note(rule + ": " + list.size());
			if (rule != Rule.EXIT) {
				list.stream().limit(MAX_EXPLAINED).forEach((v) -> explain(v, processes));
			}
		});
	}

	private void explain(Violation violation, List<FleetProcess> processes) {
		List<String> arguments = new ArrayList<>(List.of("explain", violation.id()));
		processes.stream().filter((p) -> p.log().toFile().isFile()).forEach((p) -> arguments.add(p.log().toString()));
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		Main.run(arguments.toArray(String[]::new), new PrintStream(out), new PrintStream(out));
		note("explain " + violation + "\n" + out.toString(StandardCharsets.UTF_8));
	}

	/**
	 * A promise to callers.
	 */
	enum Rule {

		/** A turn that was answered whole within the retention is called missing. */
		LOST_TURN,

		/** A turn that was answered whole reaches no upstream in several tries. */
		LOST_REACH,

		/**
		 * A turn reaches no upstream in several tries although nothing unplanned
		 * happened.
		 */
		CALM_REACH,

		/**
		 * A turn that was answered whole reaches no upstream in any try of the last
		 * seconds in which the fleet may recover from the final fault.
		 */
		LATE_REACH,

		/** A request ends without an answer although nothing unplanned happened. */
		LOST_ANSWER,

		/**
		 * More than {@link RequestLedger#MAX_CLOSED} requests were passed on by an entry
		 * in touch, and ended in a close without an answer before their time was over.
		 */
		CLOSED,

		/** A request that may not be repeated runs more than once. */
		TWICE,

		/** A request that was refused as not run has run, or runs later. */
		REFUSED,

		/** A caller takes something for an answer that none gave to it. */
		MIXED,

		/** Events are missing, come twice or out of order. */
		ORDER,

		/** A request runs that was not sent, or with another body. */
		UNASKED,

		/** A request that is allowed is refused with 4xx. */
		DENIED,

		/** A process ends by itself. */
		EXIT

	}

	/**
	 * A kind of request.
	 */
	enum Kind {

		TURN("POST", "/turns/t", 3017, false), SAFE("GET", "/safe/s", 1504, true),
		UNSAFE("POST", "/unsafe/u", 6007, false);

		private final String method;

		private final String path;

		private final int timeMillis;

		private final boolean repeatable;

		Kind(String method, String path, int timeMillis, boolean repeatable) {
			this.method = method;
			this.path = path;
			this.timeMillis = timeMillis;
			this.repeatable = repeatable;
		}

		String method() {
			return this.method;
		}

		String path() {
			return this.path;
		}

		/**
		 * Returns how long callers wait for the answer.
		 * @return the time
		 */
		Duration time() {
			return Duration.ofMillis(this.timeMillis);
		}

		boolean isRepeatable() {
			return this.repeatable;
		}

	}

	/**
	 * A broken promise.
	 *
	 * @param rule the promise
	 * @param id the id of the request, or the name of the process that ended
	 * @param instance the instance that received the request
	 * @param text what was seen
	 */
	record Violation(Rule rule, String id, String instance, String text) {

		@Override
		public String toString() {
			return this.rule + " " + this.id + " at " + this.instance + ": " + this.text;
		}

	}

	/**
	 * A fault that ended all processes.
	 */
	final class FaultOfAll {

		private final long downAt = RequestLedger.this.clock.getAsLong();

		private volatile Long backAt;

		private volatile Long servedAt;

		/**
		 * Records that the last process was told to start.
		 */
		void back() {
			this.backAt = RequestLedger.this.clock.getAsLong();
		}

		private synchronized void served(Entry entry) {
			if ((this.servedAt == null) && (entry.sentAt - this.downAt >= 0)) {
				this.servedAt = entry.servedAt;
			}
		}

		private Duration timeToServe() {
			return ((this.backAt != null) && (this.servedAt != null)) ? Duration.ofNanos(this.servedAt - this.backAt)
					: null;
		}

	}

	/**
	 * The repair of the group after a loss of disks.
	 */
	final class Repair {

		private final String disks;

		private volatile Duration time;

		private Repair(String disks) {
			this.disks = disks;
		}

		/**
		 * Records that the group is whole.
		 * @param taken how long after the keepers were back
		 */
		void end(Duration taken) {
			this.time = taken;
			note("whole " + taken.toMillis() + " ms after " + this.disks + " were back without their disks");
		}

	}

	/**
	 * Who suffers from a disturbance.
	 */
	private enum Scope {

		/** Nobody, as it is planned work. */
		PLANNED,

		/** The callers of one entry. */
		ENTRY,

		/** All callers, as the machine stores turns. */
		STORING

	}

	/**
	 * Something that was done to the fleet.
	 */
	static final class Disturbance {

		private final String kind;

		private final Scope scope;

		private final String instance;

		private final long beganAt;

		private volatile long endedAt;

		private volatile boolean ended;

		private Disturbance(String kind, Scope scope, String instance, long beganAt) {
			this.kind = kind;
			this.scope = scope;
			this.instance = instance;
			this.beganAt = beganAt;
		}

		private void end(long at) {
			this.endedAt = at;
			this.ended = true;
		}

		private boolean affects(String entry) {
			return (this.scope == Scope.STORING) || ((this.scope == Scope.ENTRY) && this.instance.equals(entry));
		}

		private boolean overlaps(long from, long to) {
			return (this.beganAt - to < 0) && (!this.ended || (this.endedAt - from > 0));
		}

		private boolean changesWithin(long from, long to) {
			return isWithin(this.beganAt, from, to) || (this.ended && isWithin(this.endedAt, from, to));
		}

		private static boolean isWithin(long at, long from, long to) {
			return (at - from > 0) && (at - to < 0);
		}

	}

	/**
	 * A request.
	 */
	private static final class Entry {

		private final String id;

		private final Kind kind;

		private final String instance;

		private final String previous;

		private final long sentAt;

		private final AtomicInteger runs = new AtomicInteger();

		private final Queue<UpstreamFault> faults = new ConcurrentLinkedQueue<>();

		private volatile long arrivedAt;

		private volatile boolean offered;

		private volatile boolean spoiled;

		private volatile boolean refused;

		private volatile long servedAt;

		private Entry(String id, Kind kind, String instance, String previous, long sentAt) {
			this.id = id;
			this.kind = kind;
			this.instance = instance;
			this.previous = previous;
			this.sentAt = sentAt;
		}

	}

}
