/**
 * The settings of a daemon: JSON with comments, bound to records and checked; every error
 * names the place and the remedy.
 */
package org.ragworthook.daemon.settings;
