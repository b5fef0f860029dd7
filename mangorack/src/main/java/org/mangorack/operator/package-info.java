/**
 * The command line and the HTTP interface towards operators.
 */
package org.mangorack.operator;
