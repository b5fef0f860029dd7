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
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

import org.mangorack.keeper.proto.Adopt;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Status;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

/**
 * Manages the membership of the keeper group, whose state is stored in a single object of
 * the platform. A keeper that is not a member joins in place of a member that lost its
 * disk, does not respond or is being retired. A retiring member that is not replaced in
 * time removes itself from the group. Each step depends only on the stored object, so
 * that any keeper can continue a change that another one started.
 */
final class GroupMembership implements AutoCloseable {

	/**
	 * How long a member must be unresponsive before another disk replaces it, or a
	 * joining disk before the membership change is aborted. Longer than a restart takes,
	 * because a disk that comes back with its data needs no copy.
	 */
	static final Duration UNRESPONSIVE_TIMEOUT = Duration.ofMillis(3500);

	/**
	 * How long keepers wait for each other on the first start of the system before one of
	 * them creates the group. It waits longer if fewer disks are registered than copies
	 * are promised.
	 */
	static final Duration FORMATION_DELAY = Duration.ofMillis(2500);

	/**
	 * How long a retiring member waits for another keeper to replace it.
	 */
	static final Duration SUCCESSOR_TIMEOUT = Duration.ofMillis(1500);

	/**
	 * How long a keeper that copies data for a change may make no progress, although it
	 * responds, before a member continues the change without it.
	 */
	static final Duration STALL_TIMEOUT = Duration.ofSeconds(12);

	/**
	 * How long a disk that has caught up waits for others that join in the same change.
	 */
	static final Duration MAX_WAIT_FOR_OTHERS = Duration.ofMillis(1500);

	private static final Duration STEP_INTERVAL = Duration.ofMillis(250);

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);

	private final Member self;

	private final int tolerance;

	private final boolean firstStart;

	private final ObjectStore store;

	private final KindCache groups;

	private final GroupObject groupObject;

	private final KindCache keepers;

	private final RetirementBoard retirements;

	private final KeeperService service;

	private final EventLoop loop;

	private final KeeperPeers peers;

	private final DiskCopier copier;

	private final MonotonicClock clock;

	private final Thread thread;

	private final Map<String, Long> unresponsiveSince = new HashMap<>();

	private final long startedAt;

	private volatile Optional<Long> shortSince = Optional.empty();

	private CatchUp catchUp;

	private long caughtUpAt;

	private final CopyProgress progress;

	private long supervisedEpoch;

	private boolean watchingKeepers;

	private boolean registered;

	private long retiringSince;

	private boolean reportedInProgress;

	private volatile boolean closed;

	GroupMembership(Member self, int tolerance, boolean firstStart, ObjectStore store, KindCache groups,
			KindCache keepers, RetirementBoard retirements, KeeperService service, EventLoop loop,
			MonotonicClock clock) {
		this.self = self;
		this.tolerance = tolerance;
		this.firstStart = firstStart;
		this.store = store;
		this.groups = groups;
		this.groupObject = new GroupObject(store, groups, clock);
		this.keepers = keepers;
		this.retirements = retirements;
		this.service = service;
		this.loop = loop;
		this.peers = new KeeperPeers(loop, clock);
		this.copier = new DiskCopier(service, loop, this.peers, clock);
		this.clock = clock;
		this.startedAt = clock.nanoTime();
		this.catchUp = new CatchUp(0, this.startedAt);
		this.progress = new CopyProgress(clock);
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

	// ---- Accessors

	/**
	 * Returns how long the group has been short of members. It is if it has fewer than it
	 * should, is changing, or has a former disk of this keeper as a member. May be called
	 * by any thread.
	 * @return the time, or zero if the group is not short of members
	 */
	Duration timeShortOfMembers() {
		return this.shortSince.map(this.clock::elapsed).orElse(Duration.ZERO);
	}

	// ---- Membership thread

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
			catch (RuntimeException | Error ex) {
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

	/**
	 * Forms the group, or continues from what this keeper knows of it.
	 * @throws StoreException if the group cannot be changed, for example because another
	 * keeper changed it
	 * @throws InterruptedException if the thread is interrupted
	 */
	void step() throws StoreException, InterruptedException {
		Optional<StoredObject> known = this.groupObject.newest(this.service.view().epoch());
		if (known.isPresent()) {
			// Registrations matter only until the group is formed.
			this.keepers.close();
			step(known.get());
		}
		else {
			form();
		}
	}

	/**
	 * Continues, begins or aborts a change of the group if this keeper has to.
	 * @param object the object that holds the group
	 * @throws StoreException if the group cannot be changed, for example because another
	 * keeper changed it
	 * @throws InterruptedException if the thread is interrupted
	 */
	void step(StoredObject object) throws StoreException, InterruptedException {
		GroupView view = GroupDocument.read(object.spec(), this.tolerance);
		adopt(view);
		recordShortage(view);
		String disk = this.self.getDisk();
		boolean retiring = this.retirements.requested().contains(this.self.getName());
		if (view.isChanging()) {
			continueChange(object, view, retiring);
			return;
		}
		if (retiring) {
			retire(object, view);
		}
		else if (!view.isMember(disk)) {
			join(object, view);
		}
	}

	private void recordShortage(GroupView view) {
		boolean complete = !view.isChanging() && (view.members().size() >= targetSize())
				&& findFormerDisk(view).isEmpty();
		if (complete) {
			this.shortSince = Optional.empty();
		}
		else if (this.shortSince.isEmpty()) {
			this.shortSince = Optional.of(this.clock.nanoTime());
		}
	}

	// Finds the member whose disk was lost before this keeper started with another one.
	private Optional<Member> findFormerDisk(GroupView view) {
		return view.members()
			.stream()
			.filter((m) -> m.getName().equals(this.self.getName()) && !m.getDisk().equals(this.self.getDisk()))
			.findFirst();
	}

	// ---- Forming the group

	/**
	 * Registers the disk of this keeper on the first start of the system, and creates the
	 * group if enough disks are registered and no keeper before this one by name answers.
	 * A keeper that was started again takes part as soon as any disk is registered: until
	 * there is a group, nothing that it may have lost was ever confirmed.
	 * @throws StoreException if the disk cannot be registered or the group not be created
	 * @throws InterruptedException if the thread is interrupted
	 */
	void form() throws StoreException, InterruptedException {
		boolean formed = (this.service.view().epoch() > 0) || this.groups.object(GroupDocument.NAME).isPresent();
		if (formed || !this.groups.awaitListed(Duration.ofMillis(1))) {
			return;
		}
		if (!this.watchingKeepers) {
			this.watchingKeepers = true;
			this.keepers.start();
		}
		if (!this.firstStart && this.keepers.objects().isEmpty()) {
			return;
		}
		if (!this.registered) {
			register();
			return;
		}
		if (this.clock.elapsed(this.startedAt).compareTo(FORMATION_DELAY) > 0) {
			formFrom(findRegistered());
		}
	}

	private List<Member> findRegistered() {
		List<Member> all = new ArrayList<>();
		this.keepers.objects().values().forEach((o) -> GroupDocument.findMember(o.spec()).ifPresent(all::add));
		all.sort(Comparator.comparing(Member::getName).thenComparing(Member::getDisk));
		return all;
	}

	private void formFrom(List<Member> registered) throws StoreException, InterruptedException {
		Set<String> answering = new HashSet<>(sendView(GroupView.unknown(this.tolerance), registered).keySet());
		answering.add(this.self.getDisk());
		Optional<Member> first = registered.stream().filter((m) -> answering.contains(m.getDisk())).findFirst();
		if (!first.map(Member::getDisk).equals(Optional.of(this.self.getDisk()))) {
			return;
		}
		List<Member> present = registered.stream().filter((m) -> !isReplaced(m, registered, answering)).toList();
		GroupView view = new GroupView(1, selectInitialMembers(present), List.of(), this.tolerance);
		if (!view.canConfirmTurns()) {
			return;
		}
		EventLog.log(Event.GROUP_CHANGE, "change", "form", "members", view.members().size(), "registered",
				registered.size(), "answering", answering.size());
		this.groupObject.create(GroupDocument.write(view));
	}

	// An instance that answers from one disk has lost the others that it registered.
	private static boolean isReplaced(Member member, List<Member> registered, Set<String> answering) {
		return !answering.contains(member.getDisk()) && registered.stream()
			.anyMatch((m) -> m.getName().equals(member.getName()) && answering.contains(m.getDisk()));
	}

	private void register() throws StoreException {
		try {
			this.store.create(ObjectKind.KEEPER, this.self.getDisk(), GroupDocument.write(this.self));
		}
		catch (StoreException ex) {
			if (ex.reason() != StoreException.Reason.CONFLICT) {
				throw ex;
			}
			// The object is named after this disk, so an earlier attempt has created it.
		}
		this.registered = true;
	}

	// Spreads the members evenly over the data centres.
	private List<Member> selectInitialMembers(List<Member> all) {
		List<Member> chosen = new ArrayList<>();
		List<Member> rest = new ArrayList<>(all);
		while (!rest.isEmpty() && (chosen.size() < targetSize())) {
			Member next = rest.stream()
				.min(Comparator
					.comparingLong((m) -> chosen.stream().filter((c) -> c.getZone().equals(m.getZone())).count()))
				.orElseThrow();
			rest.remove(next);
			chosen.add(next);
		}
		return chosen;
	}

	private int targetSize() {
		return (2 * this.tolerance) + 2;
	}

	// ---- Joining

	private void join(StoredObject object, GroupView view) throws StoreException, InterruptedException {
		Optional<Member> replaced = findReplaceableMember(view);
		if (replaced.isPresent() || (view.members().size() < targetSize())) {
			join(object, view, replaced);
		}
	}

	private void join(StoredObject object, GroupView view, Optional<Member> replaced)
			throws StoreException, InterruptedException {
		List<Member> next = new ArrayList<>(view.isChanging() ? view.next() : view.members());
		replaced.ifPresent(next::remove);
		next.add(this.self);
		long epoch = view.epoch() + 1;
		EventLog.log(Event.GROUP_CHANGE, "change", "join", "epoch", epoch, "instead",
				replaced.map(Member::getName).orElse("none"));
		write(object, new GroupView(epoch, view.members(), next, this.tolerance),
				GroupDocument.readJoiners(object.spec(), view).with(this.self.getDisk(), epoch));
	}

	private Optional<Member> findReplaceableMember(GroupView view) throws InterruptedException {
		Optional<Member> former = findFormerDisk(view);
		if (former.isPresent()) {
			return former;
		}
		Set<String> leaving = this.retirements.requested();
		for (Member m : view.members()) {
			if (leaving.contains(m.getName())) {
				return Optional.of(m);
			}
		}
		return findUnresponsiveMember(view);
	}

	private Optional<Member> findUnresponsiveMember(GroupView view) throws InterruptedException {
		return probeAll(view) ? view.members().stream().filter(this::isUnresponsive).findFirst() : Optional.empty();
	}

	// Probes all keepers of a view. Returns false, and counts no keeper as unresponsive,
	// if so few members respond that this keeper itself may be partitioned from the
	// group.
	private boolean probeAll(GroupView view) throws InterruptedException {
		Map<String, Reply> replies = sendView(view, view.all());
		replies.forEach((disk, reply) -> this.progress.record(disk, reply.getCopied()));
		Set<String> answering = new HashSet<>(replies.keySet());
		answering.add(this.self.getDisk());
		for (Member m : view.all()) {
			if (answering.contains(m.getDisk())) {
				this.unresponsiveSince.remove(m.getDisk());
			}
			else {
				this.unresponsiveSince.putIfAbsent(m.getDisk(), this.clock.nanoTime());
			}
		}
		if (!view.isReadQuorum(answering)) {
			this.unresponsiveSince.clear();
			return false;
		}
		return true;
	}

	private boolean isUnresponsive(Member member) {
		Long since = this.unresponsiveSince.get(member.getDisk());
		return (since != null) && (this.clock.elapsed(since).compareTo(UNRESPONSIVE_TIMEOUT) > 0);
	}

	// ---- Leaving

	// A member leaves once it has waited for a successor. A keeper whose disk was lost
	// joins first, as a group that merely dropped the lost disk would keep one copy less
	// of what it held.
	private void retire(StoredObject object, GroupView view) throws StoreException, InterruptedException {
		boolean lost = findFormerDisk(view).isPresent();
		if (!lost && !view.isMember(this.self.getDisk())) {
			reportRetired(view);
			return;
		}
		if (!this.reportedInProgress) {
			this.retirements.report(this.self.getName(), false);
			this.reportedInProgress = true;
			this.retiringSince = this.clock.nanoTime();
		}
		if (this.clock.elapsed(this.retiringSince).compareTo(SUCCESSOR_TIMEOUT) <= 0) {
			return;
		}
		if (lost) {
			join(object, view);
		}
		else {
			leave(object, view);
		}
	}

	// The object may be older than a change that has been made by this keeper.
	private void reportRetired(GroupView view) throws StoreException {
		if (view.epoch() >= this.service.view().epoch()) {
			this.retirements.report(this.self.getName(), true);
		}
	}

	private void leave(StoredObject object, GroupView view) throws StoreException, InterruptedException {
		if (view.members().size() > (2 * this.tolerance) + 1) {
			List<Member> next = view.members()
				.stream()
				.filter((m) -> !m.getDisk().equals(this.self.getDisk()))
				.toList();
			EventLog.log(Event.GROUP_CHANGE, "change", "leave", "epoch", view.epoch() + 1);
			write(object, new GroupView(view.epoch() + 1, view.members(), next, this.tolerance), Joiners.none());
		}
	}

	// ---- Continuing a change

	private void continueChange(StoredObject object, GroupView view, boolean retiring)
			throws StoreException, InterruptedException {
		Joiners joiners = GroupDocument.readJoiners(object.spec(), view);
		String disk = this.self.getDisk();
		Optional<Member> lost = findLostDisk(view);
		if (joiners.contains(disk)) {
			continueJoin(object, view, joiners);
		}
		else if (view.isMember(disk) && !view.isNext(disk) && joiners(view).isEmpty()) {
			continueLeave(object, view);
		}
		else if (view.isMember(disk)) {
			superviseChange(object, view, joiners);
		}
		else if (lost.isPresent() && isReplaceable(lost.get(), joiners, retiring)) {
			join(object, view, lost);
		}
	}

	// Finds a former disk of this instance that the change would keep: a member, or one
	// that was lost while it was joining.
	private Optional<Member> findLostDisk(GroupView view) {
		return view.next()
			.stream()
			.filter((m) -> m.getName().equals(this.self.getName()) && !m.getDisk().equals(this.self.getDisk()))
			.findFirst();
	}

	// A retiring keeper leaves its place in a change to others.
	private static boolean isReplaceable(Member lost, Joiners joiners, boolean retiring) {
		return joiners.contains(lost.getDisk()) || (!retiring && joiners.isOpen());
	}

	// Several disks may join at the same time. The last one that catches up completes the
	// change, as the next members are only certain to hold all data together.
	private void continueJoin(StoredObject object, GroupView view, Joiners joiners)
			throws StoreException, InterruptedException {
		String disk = this.self.getDisk();
		Joiners caughtUp = joiners;
		if (!joiners.isCaughtUp(disk)) {
			if (!catchUp(joiners.sinceEpoch(disk), () -> copyFromMembers(view))) {
				return;
			}
			caughtUp = joiners.withCaughtUp(disk);
		}
		if (caughtUp.areAllCaughtUp()) {
			complete(object, view);
		}
		else if (!joiners.isCaughtUp(disk)) {
			this.caughtUpAt = this.clock.nanoTime();
			write(object, view, caughtUp);
		}
		else if (this.clock.elapsed(this.caughtUpAt).compareTo(MAX_WAIT_FOR_OTHERS) > 0) {
			abandon(object, view, joiners,
					joiners(view).stream().filter((m) -> !joiners.isCaughtUp(m.getDisk())).toList(), "late");
		}
	}

	private void continueLeave(StoredObject object, GroupView view) throws StoreException, InterruptedException {
		if (catchUp(view.epoch(), () -> copyToNextMembers(view))) {
			complete(object, view);
		}
	}

	private boolean catchUp(long sinceEpoch, CopyStep copy) throws InterruptedException {
		if (this.catchUp.epoch() != sinceEpoch) {
			this.catchUp = new CatchUp(sinceEpoch, this.clock.nanoTime());
		}
		if (!copy.run()) {
			return false;
		}
		EventLog.log(Event.DISK_CAUGHT_UP, "epoch", sinceEpoch, "joining",
				!this.service.view().isMember(this.self.getDisk()), "read", this.catchUp.read(), "turns",
				this.catchUp.turns(), "charges", this.catchUp.charges(), "afterMillis",
				this.clock.elapsed(this.catchUp.startedAt()).toMillis());
		return true;
	}

	private void complete(StoredObject object, GroupView view) throws StoreException, InterruptedException {
		write(object, new GroupView(view.epoch() + 1, view.next(), List.of(), this.tolerance), Joiners.none());
	}

	// Continues a change without the keepers that fail to copy their data.
	private void superviseChange(StoredObject object, GroupView view, Joiners joiners)
			throws StoreException, InterruptedException {
		if (joiners.areAllCaughtUp()) {
			complete(object, view);
			return;
		}
		if (this.supervisedEpoch != view.epoch()) {
			this.supervisedEpoch = view.epoch();
			this.progress.clear();
			this.unresponsiveSince.clear();
		}
		List<Member> copying = new ArrayList<>(joiners(view));
		if (copying.isEmpty()) {
			copying.addAll(leavers(view));
		}
		if (!probeAll(view)) {
			return;
		}
		List<Member> unresponsive = copying.stream().filter(this::isUnresponsive).toList();
		List<Member> stalled = copying.stream()
			.filter((m) -> !joiners.isCaughtUp(m.getDisk()))
			.filter((m) -> this.progress.timeWithoutProgress(m.getDisk()).compareTo(STALL_TIMEOUT) > 0)
			.toList();
		if (!unresponsive.isEmpty() || !stalled.isEmpty()) {
			abandon(object, view, joiners, unresponsive.isEmpty() ? stalled : unresponsive,
					unresponsive.isEmpty() ? "no progress" : "unresponsive");
		}
	}

	// Disks that go on joining read the members anew. Until now a write may have been
	// confirmed by the disk that is left out in place of one of them.
	private void abandon(StoredObject object, GroupView view, Joiners joiners, List<Member> failed, String cause)
			throws StoreException, InterruptedException {
		long epoch = view.epoch() + 1;
		List<Member> next = new ArrayList<>();
		if (joiners(view).size() > failed.size()) {
			next.addAll(view.next());
			next.removeAll(failed);
			next.addAll(findReplaced(view, failed));
		}
		EventLog.log(Event.GROUP_CHANGE, "change", "call off", "epoch", epoch, "without",
				failed.stream().map(Member::getName).toList(), "cause", cause);
		write(object, new GroupView(epoch, view.members(), next, this.tolerance), joiners.restartedAt(epoch));
	}

	// Finds the members in whose place disks join: their former disks, or else those
	// whose instances have no other disk in the change.
	private static List<Member> findReplaced(GroupView view, List<Member> joining) {
		List<Member> former = new ArrayList<>();
		List<Member> others = new ArrayList<>();
		for (Member leaver : leavers(view)) {
			if (isOneOf(joining, leaver.getName())) {
				former.add(leaver);
			}
			else if (!isOneOf(view.next(), leaver.getName())) {
				others.add(leaver);
			}
		}
		former.addAll(others.subList(0, Math.min(others.size(), joining.size() - former.size())));
		return former;
	}

	private static boolean isOneOf(List<Member> members, String name) {
		return members.stream().anyMatch((m) -> m.getName().equals(name));
	}

	private static List<Member> joiners(GroupView view) {
		return view.next().stream().filter((m) -> !view.isMember(m.getDisk())).toList();
	}

	private static List<Member> leavers(GroupView view) {
		return view.members().stream().filter((m) -> !view.isNext(m.getDisk())).toList();
	}

	// Copies the data that this disk lacks. Members first stop accepting requests of
	// older views, so a write that is missing from the copies was never completed. For
	// the same reason a member that was read once need not be read again in this change.
	private boolean copyFromMembers(GroupView view) throws InterruptedException {
		List<Member> unread = view.members()
			.stream()
			.filter((m) -> !this.catchUp.read().contains(m.getDisk()))
			.toList();
		Set<String> adopted = findAdopted(unread, view);
		List<Member> readable = unread.stream().filter((m) -> adopted.contains(m.getDisk())).toList();
		this.copier.copyFrom(readable, view.epoch(), this.catchUp);
		return view.isReadQuorum(this.catchUp.read());
	}

	private boolean copyToNextMembers(GroupView view) throws InterruptedException {
		Set<String> upToDate = new HashSet<>();
		Set<String> adopted = findAdopted(view.members(), view);
		adopted.add(this.self.getDisk());
		if (!view.isReadQuorum(adopted)) {
			return false;
		}
		for (Member m : view.next()) {
			if (adopted.contains(m.getDisk()) && this.copier.copyTo(m)) {
				upToDate.add(m.getDisk());
			}
		}
		return new GroupView(view.epoch(), view.next(), List.of(), this.tolerance).isWriteQuorum(upToDate)
				&& (upToDate.size() > view.next().size() / 2);
	}

	// Finds the members that accept no request of a view before this one any more.
	private Set<String> findAdopted(List<Member> members, GroupView view) throws InterruptedException {
		Set<String> adopted = new HashSet<>();
		sendView(view, members).forEach((disk, reply) -> {
			if (reply.getView().getEpoch() >= view.epoch()) {
				adopted.add(disk);
			}
		});
		return adopted;
	}

	// Returns the replies of the other keepers that handled the view, by disk.
	private Map<String, Reply> sendView(GroupView view, List<Member> members) throws InterruptedException {
		List<Member> others = members.stream().filter((m) -> !m.getDisk().equals(this.self.getDisk())).toList();
		Map<String, Reply> replies = this.peers.callAll(others,
				() -> Request.newBuilder().setAdopt(Adopt.newBuilder().setView(view.toProto())), CALL_TIMEOUT);
		replies.values().removeIf((reply) -> reply.getStatus() != Status.OK);
		return replies;
	}

	private void write(StoredObject object, GroupView view, Joiners joiners)
			throws StoreException, InterruptedException {
		this.groupObject.update(object, GroupDocument.write(view, joiners));
		adopt(view);
	}

	// ---- Access to the service on its event loop

	private void adopt(GroupView view) throws InterruptedException {
		if (view.epoch() <= this.service.view().epoch()) {
			return;
		}
		EventLoopCalls.call(this.loop, () -> {
			try {
				this.service.adopt(view);
			}
			catch (IOException ex) {
				EventLog.log(Event.LOG_FAILED, ex, "operation", "write view", "epoch", view.epoch());
			}
			return null;
		});
	}

	/**
	 * A step of a copy.
	 */
	@FunctionalInterface
	private interface CopyStep {

		/**
		 * Copies some data.
		 * @return whether all data is copied
		 * @throws InterruptedException if the thread is interrupted
		 */
		boolean run() throws InterruptedException;

	}

}
