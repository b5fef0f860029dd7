package org.mangorack.keeper;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A disk in memory that fills up, fails and loses power. What was not synced is kept,
 * lost or torn at a loss of power, each write and each name on its own.
 */
final class FaultyDisk implements DiskFiles {

	private final Random random;

	private Map<Path, Content> names = new HashMap<>();

	// What a loss of power leaves for certain, and the names whose fate it decides.
	private Map<Path, Content> syncedNames = new HashMap<>();

	private long capacity = Long.MAX_VALUE;

	private int failingSyncs;

	private int failingCreations;

	private int failingDeletions;

	private boolean killedBySync;

	private boolean killed;

	private Throwable nextWrite;

	private int syncs;

	FaultyDisk(long seed) {
		this.random = new Random(seed);
	}

	// ---- Faults

	/**
	 * Limits the room of the disk. What is beyond it already stays.
	 * @param bytes the bytes that can be written from now on
	 */
	void leaveRoom(long bytes) {
		this.capacity = used() + bytes;
	}

	void makeRoom() {
		this.capacity = Long.MAX_VALUE;
	}

	void failSyncs(int count) {
		this.failingSyncs = count;
	}

	void failCreations(int count) {
		this.failingCreations = count;
	}

	void failDeletions(int count) {
		this.failingDeletions = count;
	}

	/**
	 * Lets the next write end with something that is no {@link IOException}.
	 * @param failure a {@link RuntimeException} or an {@link Error}
	 */
	void failNextWrite(Throwable failure) {
		this.nextWrite = failure;
	}

	/**
	 * Lets the process be killed by the next sync: it changes nothing any more.
	 */
	void killAtNextSync() {
		this.killedBySync = true;
	}

	/**
	 * Lets a new process use the disk.
	 */
	void restart() {
		this.killed = false;
		this.killedBySync = false;
	}

	/**
	 * Loses power. The files that were open must not be used any further.
	 */
	void losePower() {
		Map<Path, Content> left = new HashMap<>(this.syncedNames);
		TreeSet<Path> changed = new TreeSet<>(this.names.keySet());
		changed.addAll(this.syncedNames.keySet());
		for (Path name : changed) {
			if ((this.names.get(name) != this.syncedNames.get(name)) && this.random.nextBoolean()) {
				left.put(name, this.names.get(name));
				left.values().removeIf((c) -> c == null);
			}
		}
		this.names = left;
		this.syncedNames = new HashMap<>(left);
		boolean allGone = this.random.nextInt(4) == 0;
		new TreeMap<>(left).values().forEach((c) -> c.settle(allGone, false));
	}

	// ---- Accessors

	int syncs() {
		return this.syncs;
	}

	long used() {
		return this.names.values().stream().mapToLong((c) -> c.visible.length).sum();
	}

	@Override
	public void createFolder(Path folder) {
		// Folders exist.
	}

	@Override
	public List<String> list(Path folder) {
		return this.names.keySet()
			.stream()
			.filter((p) -> folder.equals(p.getParent()))
			.map((p) -> p.getFileName().toString())
			.toList();
	}

	@Override
	public long size(Path file) throws IOException {
		return content(file).visible.length;
	}

	@Override
	public boolean exists(Path file) {
		return this.names.containsKey(file);
	}

	@Override
	public byte[] read(Path file) throws IOException {
		return content(file).visible.clone();
	}

	// ---- Changes

	@Override
	public OpenFile create(Path file) throws IOException {
		checkAlive();
		if (this.failingCreations > 0) {
			this.failingCreations--;
			throw new IOException("cannot create " + file);
		}
		Content content = this.names.computeIfAbsent(file, (f) -> new Content());
		content.truncate(0);
		return content;
	}

	@Override
	public void sync(Path file) throws IOException {
		content(file).sync();
	}

	@Override
	public void rename(Path from, Path to) throws IOException {
		checkAlive();
		this.names.put(to, content(from));
		this.names.remove(from);
	}

	@Override
	public void delete(Path file) throws IOException {
		checkAlive();
		if (this.failingDeletions > 0) {
			this.failingDeletions--;
			throw new IOException("cannot delete " + file);
		}
		this.names.remove(file);
	}

	@Override
	public void syncFolder(Path folder) throws IOException {
		failSync(folder);
		this.syncedNames = new HashMap<>(this.names);
	}

	@Override
	public long roomBytes(Path folder) {
		return this.capacity - used();
	}

	private Content content(Path file) throws IOException {
		Content content = this.names.get(file);
		if (content == null) {
			throw new FileNotFoundException(file.toString());
		}
		return content;
	}

	private void checkAlive() throws IOException {
		if (this.killed) {
			throw new IOException("the process was killed");
		}
	}

	private void failSync(Object what) throws IOException {
		this.killed |= this.killedBySync;
		checkAlive();
		this.syncs++;
		if (this.failingSyncs > 0) {
			this.failingSyncs--;
			throw new IOException("cannot sync " + what);
		}
	}

	@SuppressWarnings("unchecked")
	private static <T extends Throwable> void rethrow(Throwable failure) throws T {
		throw (T) failure;
	}

	/**
	 * A change of a file: bytes at an offset, or a new size if there are none.
	 */
	private record Change(int offset, byte[] bytes, boolean dropped) {

		byte[] apply(byte[] before, int kept) {
			if (this.bytes == null) {
				return (kept > 0) ? Arrays.copyOf(before, Math.min(before.length, this.offset)) : before;
			}
			byte[] after = Arrays.copyOf(before, Math.max(before.length, this.offset + kept));
			System.arraycopy(this.bytes, 0, after, this.offset, kept);
			return after;
		}

		int size() {
			return (this.bytes != null) ? this.bytes.length : 1;
		}

	}

	/**
	 * The content of a file.
	 */
	private final class Content implements OpenFile {

		private byte[] visible = {};

		private byte[] synced = {};

		private List<Change> unsynced = new ArrayList<>();

		@Override
		public void write(ByteBuffer bytes) throws IOException {
			FaultyDisk disk = FaultyDisk.this;
			checkAlive();
			if (disk.nextWrite != null) {
				Throwable failure = disk.nextWrite;
				disk.nextWrite = null;
				append(bytes, bytes.remaining() / 2);
				FaultyDisk.<RuntimeException>rethrow(failure);
			}
			int fitting = (int) Math.max(0, Math.min(bytes.remaining(), disk.capacity - disk.used()));
			append(bytes, fitting);
			if (bytes.hasRemaining()) {
				throw new IOException("no room for " + bytes.remaining() + " bytes");
			}
		}

		private void append(ByteBuffer bytes, int count) {
			byte[] written = new byte[count];
			bytes.get(written);
			change(new Change(this.visible.length, written, false));
		}

		@Override
		public void truncate(long size) throws IOException {
			checkAlive();
			change(new Change((int) size, null, false));
		}

		private void change(Change change) {
			this.visible = change.apply(this.visible, change.size());
			this.unsynced.add(change);
		}

		// What a sync that failed did not write is not written by the next one either.
		@Override
		public void sync() throws IOException {
			try {
				failSync("content");
			}
			catch (IOException ex) {
				if (!FaultyDisk.this.killed) {
					this.unsynced.replaceAll((c) -> new Change(c.offset(), c.bytes(), true));
				}
				throw ex;
			}
			byte[] seen = this.visible;
			settle(false, true);
			this.visible = seen;
		}

		// Applies what was not synced: all that was not dropped if it is synced now, else
		// each change on its own, whole, not at all or in part.
		private void settle(boolean allGone, boolean sync) {
			for (Change change : this.unsynced) {
				int kept = allGone ? 0 : switch (FaultyDisk.this.random.nextInt(3)) {
					case 0 -> 0;
					case 1 -> change.size();
					default -> FaultyDisk.this.random.nextInt(change.size() + 1);
				};
				this.synced = change.apply(this.synced, (sync && !change.dropped()) ? change.size() : kept);
			}
			this.unsynced = new ArrayList<>();
			this.visible = this.synced;
		}

		@Override
		public void close() {
			// Nothing is held.
		}

	}

}
