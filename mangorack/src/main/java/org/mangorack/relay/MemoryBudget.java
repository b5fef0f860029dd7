package org.mangorack.relay;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

import io.netty.util.internal.PlatformDependent;

import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;

/**
 * Bounds the bytes that an entry holds for all of its calls together. When the limit is
 * exceeded, the holders of the most bytes are given up. Not thread-safe: used only on the
 * traffic event loop, except for {@link #heldBytes()}.
 */
final class MemoryBudget {

	// The rest is left to the copies that are made on the way, and to everything else.
	private static final int MEMORY_SHARE = 3;

	private final long limit;

	private final Metrics metrics;

	// Only holders with bytes, so that the search for the largest one is short.
	private final Set<Holder> holders = new HashSet<>();

	private volatile long heldBytes;

	private boolean givingUp;

	/**
	 * Creates a budget of which nothing is used.
	 * @param limit the limit in bytes
	 * @param metrics counts the holders that are given up
	 */
	MemoryBudget(long limit, Metrics metrics) {
		this.limit = limit;
		this.metrics = metrics;
	}

	/**
	 * Returns the limit for this process.
	 * @return a share of the heap or of the direct memory, whichever is smaller, in bytes
	 */
	static long processLimit() {
		return Math.min(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory()) / MEMORY_SHARE;
	}

	/**
	 * Returns the bytes that all holders hold.
	 * @return the number of bytes
	 */
	long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Creates a holder without bytes.
	 * @param kind what it holds, for the log and the metrics
	 * @param name supplies the name for the log
	 * @param onGivenUp makes the holder drop its bytes; runs at most once, possibly
	 * during {@link Holder#set(long)} of another holder
	 * @return the holder
	 */
	Holder newHolder(String kind, Supplier<String> name, Runnable onGivenUp) {
		return new Holder(kind, name, onGivenUp);
	}

	// Giving up a holder may change others, such as the output of a refusal.
	private void enforceLimit() {
		if (this.givingUp) {
			return;
		}
		this.givingUp = true;
		try {
			while ((this.heldBytes > this.limit) && !this.holders.isEmpty()) {
				largest().giveUp();
			}
		}
		finally {
			this.givingUp = false;
		}
	}

	private Holder largest() {
		Holder largest = null;
		for (Holder holder : this.holders) {
			if ((largest == null) || (holder.bytes > largest.bytes)) {
				largest = holder;
			}
		}
		return largest;
	}

	/**
	 * Holds bytes until it is closed or given up.
	 */
	final class Holder {

		private final String kind;

		private final Supplier<String> name;

		private final Runnable onGivenUp;

		private long bytes;

		private boolean closed;

		private Holder(String kind, Supplier<String> name, Runnable onGivenUp) {
			this.kind = kind;
			this.name = name;
			this.onGivenUp = onGivenUp;
		}

		/**
		 * Sets the number of bytes held. May give up this holder or others. Has no effect
		 * once the holder is closed or given up.
		 * @param held the number of bytes
		 */
		void set(long held) {
			if (this.closed) {
				return;
			}
			boolean grows = held > this.bytes;
			MemoryBudget.this.heldBytes += held - this.bytes;
			this.bytes = held;
			if (held > 0) {
				MemoryBudget.this.holders.add(this);
			}
			else {
				MemoryBudget.this.holders.remove(this);
			}
			if (grows) {
				enforceLimit();
			}
		}

		/**
		 * Adds to the number of bytes held, as {@link #set(long)} does.
		 * @param change the number of bytes, negative for bytes that are no longer held
		 */
		void add(long change) {
			set(this.bytes + change);
		}

		/**
		 * Releases all bytes. The holder cannot be used again.
		 */
		void close() {
			set(0);
			this.closed = true;
		}

		private void giveUp() {
			long held = this.bytes;
			EventLog.log(Event.HOLDER_GIVEN_UP, "kind", this.kind, "name", this.name.get(), "bytes", held, "heldBytes",
					MemoryBudget.this.heldBytes, "limit", MemoryBudget.this.limit);
			MemoryBudget.this.metrics.count("mangorack.held.given.up", 1, "kind", this.kind);
			close();
			this.onGivenUp.run();
		}

	}

}
