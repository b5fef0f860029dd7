/**
 * The durable log of an instance, kept as objects of the platform.
 */
package org.mangorack.journal;
