package org.mangorack.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.platform.StoreException.Reason;

/**
 * An in-memory object store that can simulate an outage and lost responses to writes.
 */
public final class FakeStore implements ObjectStore {

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private final Map<String, JsonNode> statuses = new TreeMap<>();

	private int version;

	private boolean unreachable;

	private int responsesToLose;

	private volatile boolean watchesSilent;

	/**
	 * Makes the store unreachable or reachable.
	 * @param value {@code true} to fail every call
	 */
	public synchronized void setUnreachable(boolean value) {
		this.unreachable = value;
	}

	/**
	 * Loses the responses to the next writes, which take effect nevertheless.
	 * @param count the number of writes
	 */
	public synchronized void loseAnswers(int count) {
		this.responsesToLose = count;
	}

	/**
	 * Makes watches report nothing for good, as on a connection that has gone silent.
	 */
	public void silenceWatches() {
		this.watchesSilent = true;
	}

	/**
	 * Returns the status of an object.
	 * @param kind the kind
	 * @param name the name
	 * @return the status, or {@code null} if none was written
	 */
	public synchronized JsonNode status(ObjectKind kind, String name) {
		return this.statuses.get(kind.plural() + "/" + name);
	}

	@Override
	public synchronized Optional<StoredObject> get(ObjectKind kind, String name) throws StoreException {
		checkReachable();
		return Optional.ofNullable(this.objects.get(kind + "/" + name));
	}

	@Override
	public synchronized StoredObject create(ObjectKind kind, String name, JsonNode spec) throws StoreException {
		checkReachable();
		if (this.objects.containsKey(kind + "/" + name)) {
			throw new StoreException(Reason.CONFLICT, name + " exists");
		}
		return write(kind, name, spec);
	}

	@Override
	public synchronized StoredObject update(ObjectKind kind, String name, String expected, JsonNode spec)
			throws StoreException {
		checkReachable();
		StoredObject old = this.objects.get(kind + "/" + name);
		if (old == null) {
			throw new StoreException(Reason.NOT_FOUND, name + " does not exist");
		}
		if (!old.version().equals(expected)) {
			throw new StoreException(Reason.CONFLICT, name + " has version " + old.version());
		}
		return write(kind, name, spec);
	}

	@Override
	public synchronized void updateStatus(ObjectKind kind, String name, JsonNode status) throws StoreException {
		checkReachable();
		this.statuses.put(kind.plural() + "/" + name, status);
	}

	@Override
	public synchronized void delete(ObjectKind kind, String name, String expected) throws StoreException {
		checkReachable();
		if (this.objects.remove(kind + "/" + name) == null) {
			throw new StoreException(Reason.NOT_FOUND, name + " does not exist");
		}
	}

	@Override
	public synchronized ObjectList list(ObjectKind kind) throws StoreException {
		checkReachable();
		List<StoredObject> ofKind = new ArrayList<>();
		this.objects.forEach((key, object) -> {
			if (key.startsWith(kind + "/")) {
				ofKind.add(object);
			}
		});
		return new ObjectList(Integer.toString(this.version), ofKind);
	}

	@Override
	public void watch(ObjectKind kind, String from, WatchListener listener) throws StoreException {
		try {
			while (this.watchesSilent) {
				TimeUnit.SECONDS.sleep(1);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		throw new StoreException(Reason.TOO_OLD, "this store can only be listed");
	}

	private StoredObject write(ObjectKind kind, String name, JsonNode spec) throws StoreException {
		StoredObject stored = new StoredObject(name, Integer.toString(++this.version), spec);
		this.objects.put(kind + "/" + name, stored);
		if (this.responsesToLose > 0) {
			this.responsesToLose--;
			throw new StoreException(Reason.UNKNOWN, "the response was lost");
		}
		return stored;
	}

	private void checkReachable() throws StoreException {
		if (this.unreachable) {
			throw new StoreException(Reason.UNREACHABLE, "the store is unreachable");
		}
	}

}
