/**
 * Keys and certificates for demonstrations and tests. Not for production: the authority's
 * key lies beside the others.
 */
package org.ragworthook.standin.keys;
