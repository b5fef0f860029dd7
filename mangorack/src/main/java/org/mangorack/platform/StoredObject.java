package org.mangorack.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object stored in the platform.
 *
 * @param name the name, unique within the kind
 * @param version an opaque string that changes with each write
 * @param spec the content
 */
public record StoredObject(String name, String version, JsonNode spec) {
}
