// Loaded before all other modules, which take a part of a second.
import "./ignore-hangup.ts";

import { addFleetCommand, createCommandLine, runCommandLine } from "../command-line.ts";
import { fleet } from "../commands/fleet.ts";

// Without the other commands, the bundler leaves out all modules that no process of a fleet needs.
const cli = createCommandLine();
addFleetCommand(cli, () => Promise.resolve(fleet));
void runCommandLine(cli);
