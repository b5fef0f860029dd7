/**
 * Clients and caches for the object API of the platform.
 */
package org.mangorack.platform;
