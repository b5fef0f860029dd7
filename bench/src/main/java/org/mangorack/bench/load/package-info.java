/**
 * Clients and commands that generate load on instances.
 */
package org.mangorack.bench.load;
