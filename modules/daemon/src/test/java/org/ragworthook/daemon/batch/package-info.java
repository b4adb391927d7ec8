/**
 * Tests of files and batch jobs over HTTP, with real links and a stand-in of the engine.
 */
package org.ragworthook.daemon.batch;
