/**
 * The platform's object API as the parts see it: versioned objects, conditional writes,
 * listings by label and watches. What has to be agreed or kept goes through here; every
 * other state of the system is a cache of it or may be lost.
 */
package org.ragworthook.core.store;
