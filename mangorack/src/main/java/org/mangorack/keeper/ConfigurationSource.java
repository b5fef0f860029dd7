package org.mangorack.keeper;

import java.util.Optional;
import java.util.function.Consumer;

import org.mangorack.keeper.proto.ConfigurationDocument;

/**
 * A keeper with which configuration documents are exchanged. Used by the thread of the
 * client's event loop only.
 */
public interface ConfigurationSource {

	/**
	 * Returns the name of the keeper, for the log.
	 * @return the name or address
	 */
	String name();

	/**
	 * Asks for the document.
	 * @param known the version that the caller has
	 * @param done receives a newer document, or empty if there is none or the connection
	 * broke
	 */
	void fetch(long known, Consumer<Optional<ConfigurationDocument>> done);

	/**
	 * Sends a document that the keeper wants.
	 * @param document the document
	 */
	void offer(ConfigurationDocument document);

}
