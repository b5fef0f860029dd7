package org.mangorack.platform;

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

}
