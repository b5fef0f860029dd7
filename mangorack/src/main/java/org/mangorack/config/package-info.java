/**
 * Instance settings and the shared configuration.
 */
package org.mangorack.config;
