import "./ignore-hangup.ts";

import { BundleScript } from "./bundle-script.ts";

// After a loss of power all processes start at once on a part of a core. They load only the modules of their command, and
// compiling those would take half of the time until they serve.
new BundleScript(__dirname, process.argv[2] === "fleet" ? "fleet-bundle" : "command-bundle").run();
