import { readFileSync } from "node:fs";

/** Parts of prom-client that a process of a fleet does not use; they load TLS, the cluster module and others of Node.js. */
const unusedMetricParts = /^\.\/lib\/(pushgateway|cluster|defaultMetrics)$/;

/** Leaves modules out of the bundle of a fleet's processes that would only take processor time at their start. */
export const fleetBundlePlugin = {
    name: "fleet-bundle",
    setup({ onResolve, onLoad }) {
        onResolve(
            { filter: unusedMetricParts },
            ({ path, importer }) =>
                /prom-client[\\/]index\.js$/.test(importer) ? { path, namespace: "unused" } : undefined,
        );
        onLoad({ filter: /.*/, namespace: "unused" }, () => ({ contents: "module.exports = undefined;" }));
        // The bundler keeps all of zod, with the messages of all languages, for its export `z`, but only what is used of
        // the namespace of the module, which is the same.
        onLoad({ filter: /[\\/](packages|platform)[\\/].*\.ts$/ }, ({ path }) => ({
            loader: "ts",
            contents: readFileSync(path, "utf8").replace(
                /^import \{ z \} from "zod";$/m,
                'import * as z from "zod";',
            ),
        }));
    },
};
