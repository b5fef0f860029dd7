/**
 * The settings of an instance and the configuration shared by all instances.
 */
package org.mangorack.config;
