/**
 * Access to the object API of the platform.
 */
package org.mangorack.platform;
