package org.mangorack.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object of the platform.
 *
 * @param name the name, unique within the kind
 * @param version an opaque text that changes with each write
 * @param spec the content
 */
public record StoredObject(String name, String version, JsonNode spec) {
}
