package org.mangorack.platform;

import java.time.Duration;

/**
 * Receives the changes of a watched kind.
 */
public interface WatchListener {

	/**
	 * Reports an object that was created or changed.
	 * @param object the object after the change
	 */
	void changed(StoredObject object);

	/**
	 * Reports an object that was deleted.
	 * @param object the object before the deletion
	 */
	void deleted(StoredObject object);

	/**
	 * Reports that the stream is alive and complete up to a version.
	 * @param version the version to continue from after a break
	 */
	void progress(String version);

	/**
	 * Reports that the stream was complete up to a version some time ago.
	 * @param version the version to continue from after a break
	 * @param age how long ago
	 */
	default void progress(String version, Duration age) {
		progress(version);
	}

}
