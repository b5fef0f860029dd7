/**
 * Emulates engines, plain services and entries on a virtual clock to compare placement
 * policies on the same load.
 */
package org.mangorack.bench.emulator;
