package org.mangorack.platform;

import java.util.List;

/**
 * All objects of a kind at one moment.
 *
 * @param version the version from which a watch continues
 * @param items the objects
 */
public record ObjectList(String version, List<StoredObject> items) {
}
