package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.EventLoop;

import org.mangorack.keeper.proto.Inventory;
import org.mangorack.keeper.proto.Listing;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.ProgramCharges;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Store;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.MonotonicClock;

/**
 * Copies turns and charges between the disk of this keeper and those of others during
 * changes of the group. Content is copied in batches whose size is bounded in bytes.
 * Confined to the thread that manages group membership.
 */
final class DiskCopier {

	/**
	 * How long one request that copies data may take, and a sync of what it copied.
	 */
	static final Duration TIMEOUT = Duration.ofSeconds(3);

	/**
	 * How long charges that were copied count as held. Shorter than any retention, after
	 * which they are removed from this disk.
	 */
	private static final Duration MAX_CHARGES_AGE = TurnStore.MIN_LEDGER_RETENTION.dividedBy(2);

	private final KeeperService service;

	private final EventLoop loop;

	private final KeeperPeers peers;

	private final DiskWriter writer;

	private final MonotonicClock clock;

	private CopiedCharges copiedCharges = new CopiedCharges();

	private long copiedChargesSince;

	/**
	 * Creates a copier.
	 * @param service the content of this disk
	 * @param loop the event loop that the content is confined to
	 * @param peers calls other keepers
	 * @param clock measures time-outs
	 */
	DiskCopier(KeeperService service, EventLoop loop, KeeperPeers peers, MonotonicClock clock) {
		this.service = service;
		this.loop = loop;
		this.peers = peers;
		this.writer = new DiskWriter(service.turns(), loop);
		this.clock = clock;
		this.copiedChargesSince = clock.nanoTime();
	}

	// ---- Copying to this disk

	/**
	 * Copies what this disk lacks, as far as that is possible now. A member counts as
	 * read once all that it listed is synced to this disk.
	 * @param members the members to read, which have adopted the view
	 * @param epoch the epoch of the view
	 * @param catchUp the progress of the change
	 * @throws InterruptedException if the thread is interrupted
	 */
	void copyFrom(Collection<Member> members, long epoch, CatchUp catchUp) throws InterruptedException {
		MissingTurns missing = catchUp.missing();
		list(members.stream().filter((m) -> !missing.isListed(m.getDisk())).toList(), catchUp);
		new TurnTransfer(this.peers, this.writer, this.clock, epoch, missing, (count) -> {
			catchUp.addTurns(count);
			this.service.recordCopied(count);
		}).run(members.stream().filter((m) -> missing.isListed(m.getDisk())).toList());
		missing.complete().forEach(catchUp::addRead);
	}

	private void list(List<Member> unlisted, CatchUp catchUp) throws InterruptedException {
		Map<String, Reply> replies = this.peers.callAll(unlisted, DiskCopier::inventoryRequest, TIMEOUT);
		Set<String> held = EventLoopCalls.call(this.loop, () -> this.service.turns().syncedTurnIds());
		catchUp.missing().removeAll(held);
		for (Map.Entry<String, Reply> reply : replies.entrySet()) {
			Listing listing = reply.getValue().getListing();
			if (reply.getValue().hasListing() && copyCharges(listing.getProgramList(), catchUp)) {
				catchUp.missing().add(reply.getKey(), listing.getTurnList(), held);
			}
		}
	}

	private boolean copyCharges(List<ProgramCharges> listed, CatchUp catchUp) throws InterruptedException {
		if (this.clock.elapsed(this.copiedChargesSince).compareTo(MAX_CHARGES_AGE) > 0) {
			this.copiedCharges = new CopiedCharges();
			this.copiedChargesSince = this.clock.nanoTime();
		}
		for (List<ProgramCharges> batch : batches(this.copiedCharges.findNew(listed))) {
			if (!storeCharges(batch)) {
				return false;
			}
			batch.forEach(this.copiedCharges::add);
			catchUp.addCharges(batch.stream().mapToInt(ProgramCharges::getChargeCount).sum());
			this.service.recordCopied(batch.size());
		}
		return true;
	}

	private boolean storeCharges(List<ProgramCharges> batch) throws InterruptedException {
		try {
			this.writer.storeCharges(batch).get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
			return true;
		}
		catch (ExecutionException | TimeoutException ex) {
			return false;
		}
	}

	// ---- Copying to other disks

	/**
	 * Copies what the disk of another keeper lacks of this one.
	 * @param member the keeper
	 * @return whether all of it is synced there
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean copyTo(Member member) throws InterruptedException {
		Optional<Listing> listing = this.peers.call(member, inventoryRequest(), TIMEOUT)
			.filter(Reply::hasListing)
			.map(Reply::getListing);
		if (listing.isEmpty()) {
			return false;
		}
		StoreStream stream = new StoreStream(this.peers, member, this.service::recordCopied);
		return sendCharges(stream) && sendTurns(stream, listing.get()) && stream.awaitAll();
	}

	private boolean sendCharges(StoreStream stream) throws InterruptedException {
		for (List<ProgramCharges> batch : batches(
				EventLoopCalls.call(this.loop, () -> this.service.turns().ledgers()))) {
			if (!stream.send(Store.newBuilder().addAllProgram(batch).build())) {
				return false;
			}
		}
		return true;
	}

	private boolean sendTurns(StoreStream stream, Listing listing) throws InterruptedException {
		Set<String> synced = new HashSet<>(listing.getTurnList());
		listing.getUnsyncedTurnList().forEach(synced::remove);
		List<String> rest = new ArrayList<>(EventLoopCalls.call(this.loop, () -> this.service.turns().turnIds()));
		rest.removeIf(synced::contains);
		for (List<Turn> turns = nextTurns(rest); !turns.isEmpty(); turns = nextTurns(rest)) {
			if (!stream.send(Store.newBuilder().addAllTurn(turns).build())) {
				return false;
			}
			rest = rest.subList(rest.indexOf(turns.get(turns.size() - 1).getId()) + 1, rest.size());
		}
		return true;
	}

	private List<Turn> nextTurns(List<String> ids) throws InterruptedException {
		return EventLoopCalls.call(this.loop, () -> this.service.turns().turns(ids, KeeperService.MAX_BATCH_BYTES));
	}

	// ---- Helpers

	private static Request.Builder inventoryRequest() {
		return Request.newBuilder().setInventory(Inventory.getDefaultInstance());
	}

	// Splits charges into batches of limited size. A single program may be larger.
	private static List<List<ProgramCharges>> batches(List<ProgramCharges> all) {
		List<List<ProgramCharges>> batches = new ArrayList<>();
		long bytes = Long.MAX_VALUE;
		for (ProgramCharges charges : all) {
			int size = charges.getSerializedSize();
			if (bytes > KeeperService.MAX_BATCH_BYTES - size) {
				batches.add(new ArrayList<>());
				bytes = 0;
			}
			batches.get(batches.size() - 1).add(charges);
			bytes += size;
		}
		return batches;
	}

}
