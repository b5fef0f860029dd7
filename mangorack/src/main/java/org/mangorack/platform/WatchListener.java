package org.mangorack.platform;

import java.time.Duration;

/**
 * Receives the changes of a watched kind.
 */
public interface WatchListener {

	/**
	 * Called when an object was created or changed.
	 * @param object the object after the change
	 */
	void changed(StoredObject object);

	/**
	 * Called when an object was deleted.
	 * @param object the object before the deletion
	 */
	void deleted(StoredObject object);

	/**
	 * Called when the stream is alive and complete up to a version.
	 * @param version the version from which to continue after a failure
	 */
	void progress(String version);

	/**
	 * Called when the stream was complete up to a version some time ago.
	 * @param version the version from which to continue after a failure
	 * @param age the time since then
	 */
	default void progress(String version, Duration age) {
		progress(version);
	}

}
