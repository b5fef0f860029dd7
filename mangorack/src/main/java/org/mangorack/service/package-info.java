/**
 * Calls of plain services.
 */
package org.mangorack.service;
