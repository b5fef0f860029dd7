package org.mangorack.platform;

import java.util.List;

/**
 * All objects of a kind at one point in time.
 *
 * @param version the version from which a watch can continue
 * @param items the objects
 */
public record ObjectList(String version, List<StoredObject> items) {
}
