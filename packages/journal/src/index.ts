/**
 * Checksummed files under the data folder.
 */
export {};
