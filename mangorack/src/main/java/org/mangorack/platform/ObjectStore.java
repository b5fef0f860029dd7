package org.mangorack.platform;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A client of the object API of the platform. All methods block.
 */
public interface ObjectStore {

	/**
	 * Reads an object.
	 * @param kind the kind
	 * @param name the name
	 * @return the object, or empty if there is none
	 * @throws StoreException if the platform does not answer
	 */
	Optional<StoredObject> get(ObjectKind kind, String name) throws StoreException;

	/**
	 * Creates an object if none with that name exists.
	 * @param kind the kind
	 * @param name the name
	 * @param spec the content
	 * @return the new object
	 * @throws StoreException with reason {@code CONFLICT} if the name is already in use,
	 * possibly because of a retry of this call
	 */
	StoredObject create(ObjectKind kind, String name, JsonNode spec) throws StoreException;

	/**
	 * Replaces the content of an object that still has the given version.
	 * @param kind the kind
	 * @param name the name
	 * @param version the expected version
	 * @param spec the new content
	 * @return the changed object
	 * @throws StoreException with reason {@code CONFLICT} if the version differs,
	 * possibly because of a retry of this call
	 */
	StoredObject update(ObjectKind kind, String name, String version, JsonNode spec) throws StoreException;

	/**
	 * Replaces the status of an object, which is stored separately from its content.
	 * @param kind the kind
	 * @param name the name
	 * @param status the new status
	 * @throws StoreException if the platform does not answer or has no such object
	 */
	void updateStatus(ObjectKind kind, String name, JsonNode status) throws StoreException;

	/**
	 * Deletes an object.
	 * @param kind the kind
	 * @param name the name
	 * @param version the expected version, or {@code null} for any
	 * @throws StoreException with reason {@code CONFLICT} if the version differs, or
	 * {@code NOT_FOUND} if there is no such object
	 */
	void delete(ObjectKind kind, String name, String version) throws StoreException;

	/**
	 * Reads all objects of a kind.
	 * @param kind the kind
	 * @return the objects and the version to watch from
	 * @throws StoreException if the platform does not answer
	 */
	ObjectList list(ObjectKind kind) throws StoreException;

	/**
	 * Reports changes until the stream ends or fails.
	 * @param kind the kind
	 * @param version the version after which changes are reported
	 * @param listener receives the changes in order
	 * @throws StoreException with reason {@code TOO_OLD} if the platform no longer has
	 * the changes after that version
	 */
	void watch(ObjectKind kind, String version, WatchListener listener) throws StoreException;

}
