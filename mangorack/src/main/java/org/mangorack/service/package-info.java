/**
 * Calls to plain services.
 */
package org.mangorack.service;
