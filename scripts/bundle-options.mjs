/** Returns the esbuild options that all bundles share. */
export function bundleOptions(version) {
    return {
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        // hot-shots loads this optional native add-on for Unix datagram sockets only; UDP does not need it.
        external: ["unix-dgram"],
        define: { "process.env.LENTILRAMP_VERSION": JSON.stringify(version) },
        // Prefers ES modules: the UMD builds in "main" of some packages compute the paths that they require, which a
        // bundler cannot resolve.
        mainFields: ["module", "main"],
        logLevel: "warning",
    };
}
