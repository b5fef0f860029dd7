package org.mangorack.keeper;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.mangorack.keeper.proto.Adopt;
import org.mangorack.keeper.proto.Copy;
import org.mangorack.keeper.proto.Inventory;
import org.mangorack.keeper.proto.Listing;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.ProgramCharges;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Status;
import org.mangorack.keeper.proto.Store;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

/**
 * Changes the group of keepers through one object of the platform. A keeper that is not a
 * member makes itself one when a member lost its disk, stays silent or is to be emptied;
 * a member that is to be emptied and finds no successor leaves by itself. Each step
 * depends only on the object, so that whoever comes next can go on.
 */
final class GroupMembership implements AutoCloseable {

	/**
	 * How long a member must stay silent before another disk takes its place, and a
	 * joining disk before its change is called off. Longer than a restart, as a disk that
	 * is kept needs no copy.
	 */
	static final Duration REPLACE_AFTER = Duration.ofMillis(3500);

	/**
	 * How long the keepers of a first start wait for each other before one of them forms
	 * the group. All machines start within a fraction of a second.
	 */
	static final Duration FORM_AFTER = Duration.ofMillis(2500);

	/**
	 * How long a member that is to be emptied waits for a successor.
	 */
	static final Duration SUCCESSOR_WAIT = Duration.ofMillis(1500);

	/**
	 * A change that makes no progress for this long is called off by a member, though all
	 * answer.
	 */
	static final Duration STUCK_AFTER = Duration.ofSeconds(12);

	private static final Duration STEP_INTERVAL = Duration.ofMillis(250);

	private static final Duration CALL_LIMIT = Duration.ofMillis(600);

	private static final Duration COPY_LIMIT = Duration.ofSeconds(3);

	// Bounds the memory of one message.
	private static final int COPY_TURNS = 100;

	private final Member self;

	private final int tolerance;

	private final boolean firstStart;

	private final ObjectStore store;

	private final KindCache groups;

	private final KindCache keepers;

	private final RetirementBoard retirements;

	private final KeeperService service;

	private final EventLoop loop;

	private final KeeperPeers peers;

	private final MonotonicClock clock;

	private final Thread thread;

	private final Map<String, Long> silentSince = new HashMap<>();

	private final long startedAt;

	private boolean announced;

	private long changingEpoch;

	private long changingSince;

	private long retiringSince;

	private boolean reportedRunning;

	private volatile boolean closed;

	GroupMembership(Member self, int tolerance, boolean firstStart, ObjectStore store, KindCache groups,
			KindCache keepers, RetirementBoard retirements, KeeperService service, EventLoop loop,
			MonotonicClock clock) {
		this.self = self;
		this.tolerance = tolerance;
		this.firstStart = firstStart;
		this.store = store;
		this.groups = groups;
		this.keepers = keepers;
		this.retirements = retirements;
		this.service = service;
		this.loop = loop;
		this.peers = new KeeperPeers(loop, clock);
		this.clock = clock;
		this.startedAt = clock.nanoTime();
		this.thread = new Thread(this::run, "group");
		this.thread.setDaemon(true);
	}

	// ---- Life-cycle

	void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
		this.peers.close();
	}

	// ---- Helpers

	private void run() {
		while (!this.closed) {
			try {
				step();
				TimeUnit.MILLISECONDS.sleep(STEP_INTERVAL.toMillis());
			}
			catch (StoreException ex) {
				EventLog.log(Event.GROUP_CHANGE_FAILED, "cause", ex.getMessage());
				pauseAfterFailure();
			}
			catch (InterruptedException ex) {
				this.closed = true;
			}
			catch (RuntimeException ex) {
				EventLog.log(Event.INTERNAL_ERROR, ex, "place", "group membership");
				pauseAfterFailure();
			}
		}
	}

	private void pauseAfterFailure() {
		try {
			TimeUnit.MILLISECONDS.sleep(STEP_INTERVAL.toMillis() * 2);
		}
		catch (InterruptedException ex) {
			this.closed = true;
		}
	}

	private void step() throws StoreException, InterruptedException {
		Optional<StoredObject> object = this.groups.object(GroupDocument.NAME);
		if (object.isEmpty()) {
			form();
			return;
		}
		GroupView view = GroupDocument.read(object.get().spec(), this.tolerance);
		adopt(view);
		String disk = this.self.getDisk();
		boolean retiring = this.retirements.requested().contains(this.self.getName());
		if (view.isChanging()) {
			continueChange(object.get(), view);
		}
		else if (!view.isMember(disk)) {
			if (retiring) {
				this.retirements.report(this.self.getName(), true);
			}
			else {
				join(object.get(), view);
			}
		}
		else if (retiring) {
			leave(object.get(), view);
		}
	}

	// ---- Forming the group

	private void form() throws StoreException, InterruptedException {
		boolean waited = this.clock.elapsed(this.startedAt).compareTo(FORM_AFTER) > 0;
		if (!this.firstStart || !this.groups.awaitListed(Duration.ofMillis(1))) {
			return;
		}
		if (!this.announced) {
			announce();
			return;
		}
		List<Member> all = new ArrayList<>();
		this.keepers.objects().values().forEach((o) -> all.add(GroupDocument.member(o.spec())));
		all.sort(Comparator.comparing(Member::getName));
		boolean first = !all.isEmpty() && all.get(0).getDisk().equals(this.self.getDisk());
		if (!waited || !first) {
			return;
		}
		GroupView view = new GroupView(1, choose(all), List.of(), this.tolerance);
		EventLog.log(Event.GROUP_CHANGE, "change", "form", "members", view.members().size());
		this.store.create(ObjectKind.KEEPER_GROUP, GroupDocument.NAME, GroupDocument.write(view));
	}

	private void announce() throws StoreException {
		try {
			this.store.create(ObjectKind.KEEPER, this.self.getDisk(), GroupDocument.write(this.self));
		}
		catch (StoreException ex) {
			if (ex.reason() != StoreException.Reason.CONFLICT) {
				throw ex;
			}
			// The name is this disk's own, so an earlier try took effect.
		}
		this.announced = true;
	}

	// Takes one member of each data centre in turn.
	private List<Member> choose(List<Member> all) {
		List<Member> chosen = new ArrayList<>();
		List<Member> rest = new ArrayList<>(all);
		while (!rest.isEmpty() && (chosen.size() < wantedSize())) {
			Member next = rest.stream()
				.min(Comparator
					.comparingLong((m) -> chosen.stream().filter((c) -> c.getZone().equals(m.getZone())).count()))
				.orElseThrow();
			rest.remove(next);
			chosen.add(next);
		}
		return chosen;
	}

	private int wantedSize() {
		return (2 * this.tolerance) + 2;
	}

	// ---- Joining

	private void join(StoredObject object, GroupView view) throws StoreException, InterruptedException {
		List<Member> next = new ArrayList<>(view.members());
		Optional<Member> replaced = replaceable(view);
		if (replaced.isPresent()) {
			next.remove(replaced.get());
		}
		else if (next.size() >= wantedSize()) {
			return;
		}
		next.add(this.self);
		EventLog.log(Event.GROUP_CHANGE, "change", "join", "epoch", view.epoch() + 1, "instead",
				replaced.map(Member::getName).orElse("none"));
		write(object, new GroupView(view.epoch() + 1, view.members(), next, this.tolerance));
	}

	private Optional<Member> replaceable(GroupView view) throws InterruptedException {
		for (Member m : view.members()) {
			if (m.getName().equals(this.self.getName())) {
				return Optional.of(m);
			}
		}
		Set<String> leaving = this.retirements.requested();
		for (Member m : view.members()) {
			if (leaving.contains(m.getName())) {
				return Optional.of(m);
			}
		}
		return silentMember(view);
	}

	private Optional<Member> silentMember(GroupView view) throws InterruptedException {
		return askAll(view) ? view.members().stream().filter(this::isSilent).findFirst() : Optional.empty();
	}

	// Asks all keepers of a view for a sign of life. None counts as silent unless most
	// members answer; else this keeper is cut off.
	private boolean askAll(GroupView view) throws InterruptedException {
		Set<String> answering = new HashSet<>();
		for (Member m : view.all()) {
			if (m.getDisk().equals(this.self.getDisk()) || offer(view, m).isPresent()) {
				answering.add(m.getDisk());
				this.silentSince.remove(m.getDisk());
			}
			else {
				this.silentSince.putIfAbsent(m.getDisk(), this.clock.nanoTime());
			}
		}
		if (!view.isExhaustive(answering)) {
			this.silentSince.clear();
			return false;
		}
		return true;
	}

	private boolean isSilent(Member member) {
		Long since = this.silentSince.get(member.getDisk());
		return (since != null) && (this.clock.elapsed(since).compareTo(REPLACE_AFTER) > 0);
	}

	// ---- Leaving

	private void leave(StoredObject object, GroupView view) throws StoreException, InterruptedException {
		if (!this.reportedRunning) {
			this.retirements.report(this.self.getName(), false);
			this.reportedRunning = true;
			this.retiringSince = this.clock.nanoTime();
		}
		boolean enough = view.members().size() > (2 * this.tolerance) + 1;
		if (enough && (this.clock.elapsed(this.retiringSince).compareTo(SUCCESSOR_WAIT) > 0)) {
			List<Member> next = view.members()
				.stream()
				.filter((m) -> !m.getDisk().equals(this.self.getDisk()))
				.toList();
			EventLog.log(Event.GROUP_CHANGE, "change", "leave", "epoch", view.epoch() + 1);
			write(object, new GroupView(view.epoch() + 1, view.members(), next, this.tolerance));
		}
	}

	// ---- Finishing a change

	private void continueChange(StoredObject object, GroupView view) throws StoreException, InterruptedException {
		if (this.changingEpoch != view.epoch()) {
			this.changingEpoch = view.epoch();
			this.changingSince = this.clock.nanoTime();
		}
		String disk = this.self.getDisk();
		boolean joining = view.isNext(disk) && !view.isMember(disk);
		boolean leaving = view.isMember(disk) && !view.isNext(disk) && joiners(view).isEmpty();
		boolean stuck = this.clock.elapsed(this.changingSince).compareTo(STUCK_AFTER) > 0;
		if ((joining && copyFromMembers(view)) || (leaving && pushToNext(view))) {
			EventLog.log(Event.DISK_CAUGHT_UP, "epoch", view.epoch(), "joining", joining);
			write(object, new GroupView(view.epoch() + 1, view.next(), List.of(), this.tolerance));
		}
		else if (!joining && (lostJoiner(view) != null)) {
			List<Member> next = new ArrayList<>(view.next());
			next.remove(lostJoiner(view));
			next.add(this.self);
			EventLog.log(Event.GROUP_CHANGE, "change", "join", "epoch", view.epoch() + 1, "instead",
					this.self.getName());
			write(object, new GroupView(view.epoch() + 1, view.members(), next, this.tolerance));
		}
		else if (!joining && !leaving && view.isMember(disk) && (stuck || isJoinerSilent(view))) {
			EventLog.log(Event.GROUP_CHANGE, "change", "call off", "epoch", view.epoch() + 1, "cause",
					stuck ? "no progress" : "joiner silent");
			write(object, new GroupView(view.epoch() + 1, view.members(), List.of(), this.tolerance));
		}
	}

	private boolean isJoinerSilent(GroupView view) throws InterruptedException {
		List<Member> joiners = joiners(view);
		return !joiners.isEmpty() && askAll(view) && joiners.stream().allMatch(this::isSilent);
	}

	private static List<Member> joiners(GroupView view) {
		return view.next().stream().filter((m) -> !view.isMember(m.getDisk())).toList();
	}

	// Finds this instance's former disk, if it was lost while it was the one joining.
	private Member lostJoiner(GroupView view) {
		List<Member> joiners = joiners(view);
		boolean lost = (joiners.size() == 1) && joiners.get(0).getName().equals(this.self.getName())
				&& !joiners.get(0).getDisk().equals(this.self.getDisk());
		return lost ? joiners.get(0) : null;
	}

	// Copies what this disk lacks. Members first stop taking requests of older views, so
	// what is missing from the copies was never completed.
	private boolean copyFromMembers(GroupView view) throws InterruptedException {
		Set<String> copied = new HashSet<>();
		Set<String> held = new HashSet<>(onLoop(() -> this.service.turns().turnIds()));
		for (Member m : view.members()) {
			if (adoptedBy(m, view) && copyFrom(m, held)) {
				copied.add(m.getDisk());
			}
		}
		return view.isExhaustive(copied);
	}

	private boolean copyFrom(Member member, Set<String> held) throws InterruptedException {
		Optional<Listing> listing = inventory(member);
		if (listing.isEmpty()) {
			return false;
		}
		if (!keepCharges(listing.get().getProgramList())) {
			return false;
		}
		List<String> missing = listing.get().getTurnList().stream().filter((t) -> !held.contains(t)).toList();
		for (int i = 0; i < missing.size(); i += COPY_TURNS) {
			List<String> some = missing.subList(i, Math.min(missing.size(), i + COPY_TURNS));
			Request.Builder request = Request.newBuilder().setCopy(Copy.newBuilder().addAllTurn(some));
			Optional<Reply> reply = this.peers.call(member, request, COPY_LIMIT);
			if (reply.isEmpty() || !reply.get().hasBatch()) {
				return false;
			}
			List<Turn> turns = reply.get().getBatch().getTurnList();
			if (!keepTurns(turns)) {
				return false;
			}
			turns.forEach((t) -> held.add(t.getId()));
		}
		return true;
	}

	private boolean pushToNext(GroupView view) throws InterruptedException {
		Set<String> full = new HashSet<>();
		Set<String> adopted = new HashSet<>();
		for (Member m : view.members()) {
			if (m.getDisk().equals(this.self.getDisk()) || adoptedBy(m, view)) {
				adopted.add(m.getDisk());
			}
		}
		if (!view.isExhaustive(adopted)) {
			return false;
		}
		for (Member m : view.next()) {
			if (adopted.contains(m.getDisk()) && pushTo(m)) {
				full.add(m.getDisk());
			}
		}
		return new GroupView(view.epoch(), view.next(), List.of(), this.tolerance).isDurable(full)
				&& (full.size() > view.next().size() / 2);
	}

	private boolean pushTo(Member member) throws InterruptedException {
		Optional<Listing> listing = inventory(member);
		if (listing.isEmpty()) {
			return false;
		}
		Set<String> theirs = new HashSet<>(listing.get().getTurnList());
		List<String> missing = onLoop(() -> this.service.turns().turnIds()).stream()
			.filter((t) -> !theirs.contains(t))
			.toList();
		Store.Builder charges = Store.newBuilder().addAllProgram(onLoop(() -> this.service.turns().ledgers()));
		if (!stored(member, charges)) {
			return false;
		}
		for (int i = 0; i < missing.size(); i += COPY_TURNS) {
			List<String> some = missing.subList(i, Math.min(missing.size(), i + COPY_TURNS));
			List<Turn> turns = onLoop(() -> this.service.turns().turns(some));
			if (!stored(member, Store.newBuilder().addAllTurn(turns))) {
				return false;
			}
		}
		return true;
	}

	private boolean stored(Member member, Store.Builder content) throws InterruptedException {
		return this.peers.call(member, Request.newBuilder().setStore(content), COPY_LIMIT)
			.filter((r) -> r.getStatus() == Status.OK)
			.isPresent();
	}

	private Optional<Listing> inventory(Member member) throws InterruptedException {
		Request.Builder request = Request.newBuilder().setInventory(Inventory.getDefaultInstance());
		return this.peers.call(member, request, COPY_LIMIT).filter(Reply::hasListing).map(Reply::getListing);
	}

	private boolean adoptedBy(Member member, GroupView view) throws InterruptedException {
		return offer(view, member).filter((r) -> r.getView().getEpoch() >= view.epoch()).isPresent();
	}

	private Optional<Reply> offer(GroupView view, Member member) throws InterruptedException {
		Request.Builder request = Request.newBuilder().setAdopt(Adopt.newBuilder().setView(view.toProto()));
		return this.peers.call(member, request, CALL_LIMIT).filter((r) -> r.getStatus() == Status.OK);
	}

	private void write(StoredObject object, GroupView view) throws StoreException, InterruptedException {
		this.store.update(ObjectKind.KEEPER_GROUP, GroupDocument.NAME, object.version(), GroupDocument.write(view));
		adopt(view);
	}

	// ---- State of the service, which its own thread uses

	private void adopt(GroupView view) throws InterruptedException {
		if (view.epoch() <= this.service.view().epoch()) {
			return;
		}
		onLoop(() -> {
			try {
				this.service.adopt(view);
			}
			catch (IOException ex) {
				EventLog.log(Event.LOG_FAILED, ex, "operation", "keep view", "epoch", view.epoch());
			}
			return null;
		});
	}

	private boolean keepTurns(List<Turn> turns) throws InterruptedException {
		List<CompletableFuture<IOException>> kept = new ArrayList<>();
		onLoop(() -> {
			turns.forEach((t) -> {
				CompletableFuture<IOException> done = new CompletableFuture<>();
				kept.add(done);
				this.service.turns().keep(t, done::complete);
			});
			return null;
		});
		return allDone(kept);
	}

	private boolean keepCharges(List<ProgramCharges> all) throws InterruptedException {
		List<CompletableFuture<IOException>> kept = new ArrayList<>();
		onLoop(() -> {
			all.forEach((charges) -> {
				CompletableFuture<IOException> done = new CompletableFuture<>();
				kept.add(done);
				this.service.turns().charge(charges, done::complete);
			});
			return null;
		});
		return allDone(kept);
	}

	private static boolean allDone(List<CompletableFuture<IOException>> futures) throws InterruptedException {
		for (CompletableFuture<IOException> future : futures) {
			try {
				if (future.get(COPY_LIMIT.toMillis(), TimeUnit.MILLISECONDS) != null) {
					return false;
				}
			}
			catch (ExecutionException | TimeoutException ex) {
				return false;
			}
		}
		return true;
	}

	private <T> T onLoop(Supplier<T> task) throws InterruptedException {
		try {
			return this.loop.submit(task::get).get();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("a task of the keeper failed", ex.getCause());
		}
	}

}
