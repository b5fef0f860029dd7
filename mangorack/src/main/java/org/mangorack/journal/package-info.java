/**
 * The durable log of an instance, stored as objects of the platform.
 */
package org.mangorack.journal;
