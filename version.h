#pragma once

/** The version of comfreypost that every program reports. */
#define CF_VERSION "0.1.0"
