/**
 * The commands of the command-line interface.
 */
package org.mangorack.operator.impl;
