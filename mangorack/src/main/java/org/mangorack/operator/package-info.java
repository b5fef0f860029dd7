/**
 * The command-line interface and the client of the operator API.
 */
package org.mangorack.operator;
