/**
 * Tests of how the daemon reads answers of the object API.
 */
package org.ragworthook.daemon.objects;
