// Loaded before the bundle, which takes a part of a second.
import "./ignore-hangup.ts";

import { BundleScript } from "./bundle-script.ts";

// After a loss of power all processes start at once on a part of a core, and compiling the bundle would take half of the
// time until they serve.
new BundleScript(__dirname).run();
