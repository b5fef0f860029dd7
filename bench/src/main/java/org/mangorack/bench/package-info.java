/**
 * The bench: stand-ins, a fault proxy and a load tool. None of it is shipped.
 */
package org.mangorack.bench;
