/** Options of every bundle of the product. */
export function bundleOptions(version) {
    return {
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        // Optional native add-on of hot-shots for Unix datagram sockets; UDP needs none.
        external: ["unix-dgram"],
        define: { "process.env.LENTILRAMP_VERSION": JSON.stringify(version) },
        // The UMD builds in "main" of some packages load their files by names that a bundler cannot follow.
        mainFields: ["module", "main"],
        logLevel: "warning",
    };
}
