/**
 * Assembly and lifecycle of an instance.
 */
package org.mangorack.instance;
