package org.mangorack.keeper;

import java.util.Optional;
import java.util.function.Consumer;

import org.mangorack.keeper.proto.ConfigurationDocument;

/**
 * A keeper with which configuration documents are exchanged. Not thread-safe: confined to
 * the event loop of the client.
 */
public interface ConfigurationSource {

	/**
	 * Returns the name of the keeper, for the log.
	 * @return the name or address
	 */
	String name();

	/**
	 * Requests the configuration document.
	 * @param known the version that the caller already has
	 * @param done receives a newer document, or empty if there is none or the connection
	 * was lost
	 */
	void fetch(long known, Consumer<Optional<ConfigurationDocument>> done);

	/**
	 * Sends a document that the keeper requested.
	 * @param document the document
	 */
	void offer(ConfigurationDocument document);

}
